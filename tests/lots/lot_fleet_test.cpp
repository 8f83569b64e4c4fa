// Owners that come and go over lots whose stores are cut, killed and wiped, on a virtual clock: lot_fleet_sim.hpp.
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

void expectCaught(LotFleet::Mutation mutation, std::uint64_t seedsToCatch) {
  string violation;
  std::uint64_t seed = 0;
  while (violation.empty() && seed < seedsToCatch) violation = LotFleet(++seed, mutation).run();
  std::printf("%s\n", describeSeed(seed, violation).c_str());
  CHECK(!violation.empty());
}
}  // namespace

TEST(lotFleet, acceptedLotsStayReadableAndListedResultsStay) {
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
  // The runs reach what they are for.
  if (only) return;
  CHECK(accepted > 6 * seeds);
  CHECK(recoveries > 10 * seeds);
  CHECK(ownerships > 4 * seeds);
}
TEST(lotFleet, aRecordOfAnEarlierOwnershipIsCaught) {
  expectCaught(LotFleet::Mutation::staleOwnerWrites, 200);
}
TEST(lotFleet, aRecordThatNamesUnsyncedCopiesIsCaught) {
  expectCaught(LotFleet::Mutation::namesUnsyncedCopies, 400);
}
TEST(lotFleet, aFenceThatIsNeverLiftedIsCaught) {
  expectCaught(LotFleet::Mutation::fencedLeaseIsKept, 60);
}
TEST(lotFleet, aFormerPrimaryThatServesOnIsCaught) {
  expectCaught(LotFleet::Mutation::skipsFence, 400);
}
TEST(lotFleet, aReportThatOutlivesItsStampIsCaught) {
  expectCaught(LotFleet::Mutation::reportsOutliveStamps, 400);
}
TEST(lotFleet, aRecoveryThatIsNotTriedAgainIsCaught) {
  expectCaught(LotFleet::Mutation::failedRecoveryIsNotRetried, 60);
}
