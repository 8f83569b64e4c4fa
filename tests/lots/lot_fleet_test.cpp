// Recovery of lots under changes of ownership, partitions, crashes and disk losses: see lot_fleet_sim.hpp.
#include "tests/lots/lot_fleet_sim.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace tealshelf;
using sim::LotFleet;

TEST_GROUP(lotFleet){};

namespace {
string describeSeed(std::uint64_t seed, string const& violation) {
  return "seed " + std::to_string(seed) + ": " + violation;
}

void expectDetected(LotFleet::Mutation mutation, std::uint64_t maxSeeds) {
  string violation;
  std::uint64_t seed = 0;
  while (violation.empty() && seed < maxSeeds) violation = LotFleet(++seed, mutation).run();
  std::printf("%s\n", describeSeed(seed, violation).c_str());
  CHECK(!violation.empty());
}
}  // namespace

TEST(lotFleet, acceptedLotsStayReadableAndKeepListedResults) {
  std::uint64_t const seeds = seedCount(40);
  std::optional<std::uint64_t> const only = onlySeed();
  std::size_t accepted = 0, recoveries = 0, ownerships = 0, wipes = 0;
  for (std::uint64_t seed = only.value_or(1); seed <= only.value_or(seeds); ++seed) {
    LotFleet fleet(seed, LotFleet::Mutation::none);
    string const violation = fleet.run();
    if (only)
      for (string const& line : fleet.trace()) std::printf("%s\n", line.c_str());
    CHECK_TEXT(violation.empty(), describeSeed(seed, violation).c_str());
    accepted += fleet.accepted();
    recoveries += fleet.recoveries();
    ownerships += fleet.ownerships();
    wipes += fleet.wipes();
  }
  std::printf("%zu lots, %zu recoveries, %zu ownerships, %zu wipes\n", accepted, recoveries, ownerships, wipes);
  // The runs must cover enough lots, recoveries and changes of ownership.
  if (only) return;
  CHECK(accepted > 6 * seeds);
  CHECK(recoveries > 10 * seeds);
  CHECK(ownerships > 4 * seeds);
}
TEST(lotFleet, detectsARecordCommittedByAnEarlierOwnership) {
  expectDetected(LotFleet::Mutation::staleOwnerWrites, 200);
}
TEST(lotFleet, detectsARecordThatNamesUnsyncedCopies) {
  expectDetected(LotFleet::Mutation::namesUnsyncedCopies, 400);
}
TEST(lotFleet, detectsAStoreThatKeepsItsFencedLease) {
  expectDetected(LotFleet::Mutation::fencedLeaseIsKept, 60);
}
TEST(lotFleet, detectsAFormerPrimaryThatStillServes) {
  expectDetected(LotFleet::Mutation::skipsFence, 400);
}
TEST(lotFleet, detectsAReportThatOutlivesItsStamp) {
  expectDetected(LotFleet::Mutation::reportsOutliveStamps, 400);
}
TEST(lotFleet, detectsARecoveryThatIsNotRetried) {
  expectDetected(LotFleet::Mutation::failedRecoveryIsNotRetried, 60);
}
