// The queues of lots under troubles of workers, routes, leases and disks: see lot_queue_sim.hpp.
#include "tests/lots/lot_queue_sim.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace tealshelf;
using sim::LotQueueSim;

TEST_GROUP(lotQueueSearch){};

namespace {
constexpr std::uint64_t maxQueueSeeds = 400;

string describeQueueSeed(std::uint64_t seed, string const& violation) {
  return "seed " + std::to_string(seed) + ": " + violation;
}

void expectQueueFaultDetected(LotQueueSim::Mutation mutation, string const& expected) {
  string violation;
  std::uint64_t seed = 0;
  while (violation.empty() && seed < maxQueueSeeds) violation = LotQueueSim(++seed, mutation).run();
  std::printf("%s\n", describeQueueSeed(seed, violation).c_str());
  STRCMP_CONTAINS(expected.c_str(), violation.c_str());
}
}  // namespace

TEST(lotQueueSearch, everyItemEnds) {
  std::uint64_t const seeds = seedCount(400);
  std::optional<std::uint64_t> const only = onlySeed();
  std::size_t lots = 0, releases = 0, givenUp = 0, restarts = 0, droppedResults = 0;
  for (std::uint64_t seed = only.value_or(1); seed <= only.value_or(seeds); ++seed) {
    LotQueueSim sim(seed, LotQueueSim::Mutation::none);
    string const violation = sim.run();
    if (only)
      for (string const& line : sim.trace()) std::printf("%s\n", line.c_str());
    CHECK_TEXT(violation.empty(), describeQueueSeed(seed, violation).c_str());
    lots += sim.lots();
    releases += sim.releases();
    givenUp += sim.givenUp();
    restarts += sim.restarts();
    droppedResults += sim.droppedResults();
  }
  std::printf("%zu lots, %zu releases, %zu items given up, %zu restarts, %zu dropped results\n", lots, releases,
              givenUp, restarts, droppedResults);
  // The runs must cover enough of what puts items back into the queue, or ends them there.
  if (only) return;
  CHECK(lots > 6 * seeds);
  CHECK(releases > 5 * seeds);
  CHECK(givenUp > 5 * seeds);
  CHECK(restarts > seeds / 2);
  CHECK(droppedResults > seeds);
}
TEST(lotQueueSearch, detectsAPositionBesideTheQueue) {
  expectQueueFaultDetected(LotQueueSim::Mutation::positionBesideQueue, "an item waits");
}
TEST(lotQueueSearch, detectsGivingUpThatNeedsWorkers) {
  expectQueueFaultDetected(LotQueueSim::Mutation::givingUpNeedsWorkers, "never end");
}
TEST(lotQueueSearch, detectsOneLimitForAllServices) {
  expectQueueFaultDetected(LotQueueSim::Mutation::oneLimitForAllServices, "an item waits");
}
TEST(lotQueueSearch, detectsThatOnlyTheMostUrgentLotStarts) {
  expectQueueFaultDetected(LotQueueSim::Mutation::mostUrgentLotOnly, "an item waits");
}
TEST(lotQueueSearch, detectsARetryThatContinuesAtAnotherService) {
  expectQueueFaultDetected(LotQueueSim::Mutation::continuesAtAnotherService, "two services");
}
TEST(lotQueueSearch, detectsAnEarlierStartThatCounts) {
  expectQueueFaultDetected(LotQueueSim::Mutation::earlierStartCounts, "by two tasks");
}
