#include "workers/worker_registry.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

TEST_GROUP(workerRegistry) {
  WorkerRegistry t{Ms(3600)};
  TimePoint now = TimePoint() + std::chrono::hours(1);
  static Worker worker(std::uint64_t count, bool draining = false) {
    Worker w;
    w.id = "i-1";
    w.service = "s";
    w.address = {"10.0.0.1", 80};
    w.heartbeatSequence = count;
    w.draining = draining;
    return w;
  }
};

TEST(workerRegistry, lateHeartbeatsAreIgnored) {
  CHECK(t.merge(worker(5, true), now));
  CHECK_FALSE(t.merge(worker(4), now));
  CHECK(t.isLate(worker(4)));
  CHECK(t.find("i-1")->draining);
  CHECK_FALSE(t.merge(worker(6), now));
  CHECK_TEXT(t.find("i-1")->draining, "draining is final");
}
TEST(workerRegistry, removedWorkersStayRemoved) {
  t.merge(worker(1), now);
  Worker w = worker(1);
  w.removed = true;
  CHECK(t.merge(w, now));
  CHECK_FALSE(t.merge(worker(9), now));
  LONGS_EQUAL(1, t.changedSince(0).size());
  CHECK(t.changedSince(0)[0].removed);
}
TEST(workerRegistry, lostWorkersReturnWithAHeartbeat) {
  t.merge(worker(1), now);
  std::uint64_t const rev = t.revision();
  CHECK(t.expire(now + Ms(4000)));
  CHECK(t.changedSince(rev)[0].removed);
  CHECK_TEXT(t.present().empty(), "a lost worker must not be published as removed");
  CHECK(t.merge(worker(2), now + Ms(4100)));
  CHECK_FALSE(t.changedSince(rev)[0].removed);
}

/// Two registries that exchange transitions only, as control nodes do.
TEST(workerRegistry, onlyTheRegistrarReportsAndLosesWorkers) {
  WorkerRegistry a{Ms(3600), NodeId(1)}, b{Ms(3600), NodeId(2)};
  Worker w = worker(1);
  w.registrar = NodeId(1);
  CHECK(a.merge(w, now));
  vector<Worker> told = a.takeTransitions();
  LONGS_EQUAL(1, told.size());
  CHECK(b.merge(told[0], now));
  CHECK_TEXT(b.takeTransitions().empty(), "reports of other nodes are not passed on");
  for (std::uint64_t n = 2; n < 9; ++n) {
    now += Ms(1200);
    w.heartbeatSequence = n;
    a.merge(w, now);
    CHECK_TEXT(a.takeTransitions().empty(), "a heartbeat without a change is no transition");
    b.noteRegistrarAlive(NodeId(1), now);
    CHECK_FALSE(b.expire(now));
  }
  // The worker moves to the other control node: a transition, and its former registrar doesn't lose it.
  w.registrar = NodeId(2);
  w.heartbeatSequence = 9;
  CHECK_FALSE(b.merge(w, now));
  told = b.takeTransitions();
  LONGS_EQUAL(1, told.size());
  a.merge(told[0], now);
  now += Ms(4000);
  a.noteRegistrarAlive(NodeId(2), now);
  CHECK_FALSE(a.expire(now));
  // Only a report of its registrar marks it as lost.
  Worker untrue = w;
  untrue.lost = true;
  untrue.registrar = NodeId(3);
  CHECK_FALSE(a.merge(untrue, now));
  CHECK(b.expire(now));
  told = b.takeTransitions();
  LONGS_EQUAL(1, told.size());
  CHECK(told[0].lost);
  CHECK(a.merge(told[0], now));
  CHECK(a.present().empty() && b.present().empty());
}
TEST(workerRegistry, mergingAWholeRegistryRepairsMissedTransitions) {
  WorkerRegistry a{Ms(3600), NodeId(1)}, b{Ms(3600), NodeId(2)};
  for (int i = 0; i < 5; ++i) {
    Worker w = worker(1);
    w.id = "i-" + std::to_string(i);
    w.registrar = NodeId(1);
    a.merge(w, now);
    b.merge(w, now);
  }
  Worker gone = *a.find("i-2");
  gone.removed = true;
  a.merge(gone, now);
  now += Ms(4000);
  for (char const* const id : {"i-0", "i-1"}) {
    Worker w = *a.find(id);
    w.heartbeatSequence = 5;
    a.merge(w, now);
  }
  CHECK(a.expire(now));
  LONGS_EQUAL(3, a.present().size());
  CHECK(b.mergeAll(a.present(), NodeId(1), now));
  std::set<string> left;
  for (Worker const& w : b.present())
    if (!w.removed) left.insert(w.id);
  CHECK((left == std::set<string>{"i-0", "i-1"}));
  CHECK(b.find("i-2")->removed);
}
