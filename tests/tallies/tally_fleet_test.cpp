// Cuts, losses and repeats over many replicas on a virtual clock: see tally_fleet_sim.hpp.
#include "tests/seeds.hpp"
#include "tests/tallies/tally_fleet_sim.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace tealshelf;
using sim::TallyFleet;

TEST_GROUP(tallyFleet){};

namespace {
/// The first violation among seeds; empty if there is none.
string firstViolation(TallyFleet::Mutation mutation, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    TallyFleet fleet(seed, mutation);
    string const violation = fleet.run();
    if (!violation.empty()) return "seed " + std::to_string(seed) + ": " + violation;
  }
  return "";
}

void expectCaught(TallyFleet::Mutation mutation, std::uint64_t seedsToCatch = 40) {
  string const violation = firstViolation(mutation, seedsToCatch);
  std::printf("%s\n", violation.c_str());
  CHECK(!violation.empty());
}
}  // namespace

TEST(tallyFleet, allReplicasConvergeWithoutLostOrDoubleCounts) {
  std::uint64_t const seeds = seedCount(40);
  std::size_t acknowledged = 0, settled = 0, wipes = 0;
  std::optional<std::uint64_t> const only = onlySeed();
  for (std::uint64_t seed = only.value_or(1); seed <= only.value_or(seeds); ++seed) {
    TallyFleet fleet(seed, TallyFleet::Mutation::none);
    string const violation = fleet.run();
    if (only)
      for (string const& line : fleet.trace()) std::printf("%s\n", line.c_str());
    string const text = "seed " + std::to_string(seed) + ": " + violation;
    CHECK_TEXT(violation.empty(), text.c_str());
    acknowledged += fleet.acknowledged();
    settled += fleet.settledKeys();
    wipes += fleet.wipes();
  }
  if (only) return;
  // The runs reach what they are for.
  CHECK(acknowledged > 100 * seeds);
  CHECK(settled > 10 * seeds);

  std::printf("%zu acknowledged, %zu settled, %zu wipes\n", acknowledged, settled, wipes);
}
TEST(tallyFleet, anIdForgottenTooEarlyIsDetected) {
  expectCaught(TallyFleet::Mutation::forgetsIds);
}
TEST(tallyFleet, anOriginReusedAfterAWipeIsDetected) {
  expectCaught(TallyFleet::Mutation::reusesOrigin, 200);
}
TEST(tallyFleet, anAcknowledgementBeforeTheSyncIsDetected) {
  expectCaught(TallyFleet::Mutation::acknowledgesUnsynced);
}
TEST(tallyFleet, anAcknowledgementOnOneDiskIsDetected) {
  expectCaught(TallyFleet::Mutation::acknowledgesAlone);
}
TEST(tallyFleet, aMergeByTheLargerTotalIsDetected) {
  expectCaught(TallyFleet::Mutation::mergesByLargerTotal);
}
TEST(tallyFleet, aReadBeforeCatchingUpIsDetected) {
  expectCaught(TallyFleet::Mutation::readsBeforeCatchUp);
}
TEST(tallyFleet, anAdditionAppliedTwiceIsDetected) {
  expectCaught(TallyFleet::Mutation::appliesTwice);
}
