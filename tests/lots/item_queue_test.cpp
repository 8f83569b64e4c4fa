#include "lots/execution/item_queue.hpp"

#include "lots/execution/item_waits.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const queueService = "app";

vector<ItemRecord> queueRecords(std::size_t count) {
  vector<ItemRecord> records;
  for (std::size_t number = 0; number < count; ++number)
    records.push_back({"item-" + std::to_string(number), "/x", "body", {}, 10});
  return records;
}

vector<ItemRecord> noRecords() {
  return {};
}

Route routeTo(string const& service) {
  Route route;
  route.shares = {{service, 1}};
  route.totalWeight = 1;
  return route;
}
}  // namespace

TEST_GROUP(itemQueue){};

TEST(itemQueue, aReleasedItemIsTheNextAgain) {
  ItemQueue queue(queueRecords(3));
  ItemClaim const first = queue.start(0, queueService);
  queue.start(1, queueService);
  queue.release(first);
  LONGS_EQUAL(0, *queue.queued().begin());
  LONGS_EQUAL(2, queue.queued().size());
  LONGS_EQUAL(1, queue.running());
  LONGS_EQUAL(1, queue.runningByService().at(queueService));
}
TEST(itemQueue, countsFollowTheStates) {
  ItemQueue queue(queueRecords(4));
  CHECK(queue.finish(queue.start(0, queueService)));
  queue.start(1, queueService);
  LONGS_EQUAL(10, queue.doneTokens());
  LONGS_EQUAL(3, queue.unfinished());
  LONGS_EQUAL(2, queue.finishQueued().size());
  LONGS_EQUAL(30, queue.doneTokens());
  LONGS_EQUAL(1, queue.unfinished());
  LONGS_EQUAL(1, queue.running());
  CHECK(queue.queued().empty());
  STRCMP_EQUAL("", queue.record(0).body.c_str());
}
TEST(itemQueue, anItemThatIsNotQueuedCannotBeStarted) {
  ItemQueue queue(queueRecords(1));
  queue.start(0, queueService);
  CHECK_THROWS(std::logic_error, queue.start(0, queueService));
}
// Guards against a task that changes its item's state after a recovery had the item started again by another task.
TEST(itemQueue, anEarlierStartOfAnItemHasNoEffect) {
  ItemQueue queue(queueRecords(2));
  ItemClaim const earlier = queue.start(0, queueService);
  queue.restore({0}, noRecords);
  queue.restore({}, [] { return queueRecords(2); });
  ItemClaim const later = queue.start(0, queueService);
  CHECK(!queue.isHeld(earlier));
  queue.release(earlier);
  CHECK(queue.isHeld(later));
  CHECK(!queue.finish(earlier));
  CHECK(queue.finish(later));
}
TEST(itemQueue, itemsThatLoseTheirResultAreQueuedWithTheirBodies) {
  ItemQueue queue(queueRecords(3));
  queue.finish(queue.start(0, queueService));
  queue.finish(queue.start(1, queueService));
  queue.restore({1}, [] { return queueRecords(3); });
  LONGS_EQUAL(2, queue.queued().size());
  LONGS_EQUAL(10, queue.doneTokens());
  STRCMP_EQUAL("body", queue.record(0).body.c_str());
}
TEST(itemQueue, runningItemsGoOnOverARecovery) {
  ItemQueue queue(queueRecords(2));
  ItemClaim const claim = queue.start(0, queueService);
  queue.restore({}, noRecords);
  CHECK(queue.isHeld(claim));
}

TEST_GROUP(itemWaits){};

TEST(itemWaits, tellWhatTheItemsOfALotWaitFor) {
  LotRun run;
  run.items = ItemQueue(queueRecords(2));
  Route const route = routeTo(queueService);
  auto const slots = [](string const&) { return std::uint64_t(4); };
  auto const noSlots = [](string const&) { return std::uint64_t(0); };
  CHECK(waitsOf(run, &route, slots) == std::set<ItemWait>{ItemWait::turn});
  CHECK(waitsOf(run, &route, noSlots) == std::set<ItemWait>{ItemWait::workers});
  CHECK(waitsOf(run, nullptr, slots) == std::set<ItemWait>{ItemWait::route});
  run.items.start(0, queueService);
  CHECK((waitsOf(run, &route, slots) == std::set<ItemWait>{ItemWait::turn, ItemWait::answer}));
  run.stalled = true;
  CHECK(waitsOf(run, &route, slots) == std::set<ItemWait>{ItemWait::record});
  run.stalled = false;
  run.items.finishQueued();
  run.unlistedResults.push_back({1, false, ""});
  CHECK((waitsOf(run, &route, slots) == std::set<ItemWait>{ItemWait::answer, ItemWait::listing}));
  run.listedResults = 2;
  CHECK(waitsOf(run, &route, slots).empty());
}
