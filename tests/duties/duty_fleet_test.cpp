// Simulated holders of the duties under kills, suspensions and partitions: see duty_fleet_sim.hpp.
#include "tests/duties/duty_fleet_sim.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace tealshelf;
using sim::DutyFleet;

TEST_GROUP(dutyFleet){};

namespace {
/// One of the first seeds must show a violation.
void expectMutationDetected(DutyFleet::Mutation mutation, std::uint64_t maxSeeds = 40) {
  string violation;
  for (std::uint64_t seed = 1; seed <= maxSeeds && violation.empty(); ++seed) {
    DutyFleet fleet(seed, mutation);
    violation = fleet.run();
    if (!violation.empty()) std::printf("seed %zu: %s\n", static_cast<std::size_t>(seed), violation.c_str());
  }
  CHECK(!violation.empty());
}
}  // namespace

TEST(dutyFleet, atMostOneHolderActsAndEachWindowHasOneReport) {
  std::uint64_t const seeds = seedCount(30);
  std::size_t reports = 0, holders = 0, superseded = 0;
  std::optional<std::uint64_t> const only = onlySeed();
  for (std::uint64_t seed = only.value_or(1); seed <= only.value_or(seeds); ++seed) {
    DutyFleet fleet(seed, DutyFleet::Mutation::none);
    string const violation = fleet.run();
    if (only)
      for (string const& line : fleet.trace()) std::printf("%s\n", line.c_str());
    string const text = "seed " + std::to_string(seed) + ": " + violation;
    CHECK_TEXT(violation.empty(), text.c_str());
    reports += fleet.acceptedReports();
    holders += fleet.holders();
    superseded += fleet.supersededCalls();
  }
  if (only) return;
  std::printf("%zu reports, %zu holders, %zu superseded calls\n", reports, holders, superseded);
  // The runs exercised reports, changes of holder and superseded calls.
  CHECK(reports > 8 * seeds);
  CHECK(holders > 2 * seeds);
  CHECK(superseded > 0);
}
TEST(dutyFleet, aReusedFenceIsDetected) {
  expectMutationDetected(DutyFleet::Mutation::reusesFence);
}
TEST(dutyFleet, aRecomputedReportIsDetected) {
  expectMutationDetected(DutyFleet::Mutation::recomputesReport);
}
TEST(dutyFleet, aHolderThatActsAfterItsLeaseIsDetected) {
  expectMutationDetected(DutyFleet::Mutation::actsAfterLease);
}
TEST(dutyFleet, aLeaseByTheWallClockIsDetected) {
  expectMutationDetected(DutyFleet::Mutation::leaseByWallClock);
}
TEST(dutyFleet, aCallThroughAnotherNodeIsDetected) {
  expectMutationDetected(DutyFleet::Mutation::callsThroughOtherNode);
}
TEST(dutyFleet, countsAddedTwiceAreDetected) {
  expectMutationDetected(DutyFleet::Mutation::countsRepeatsTwice);
}
TEST(dutyFleet, anOrderUnderAPreviousFenceIsDetected) {
  expectMutationDetected(DutyFleet::Mutation::previousFence);
}
TEST(dutyFleet, aClaimWithoutAWaitIsDetected) {
  expectMutationDetected(DutyFleet::Mutation::skipsWait);
}
