// Simulated replicas under partitions, losses and repeated calls: see tally_fleet_sim.hpp.
#include "tests/seeds.hpp"
#include "tests/tallies/tally_fleet_sim.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace tealshelf;
using sim::TallyFleet;

TEST_GROUP(tallyFleet){};

namespace {
/// The first violation among the first seeds; empty if there is none.
string firstViolation(TallyFleet::Mutation mutation, std::uint64_t seeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    TallyFleet fleet(seed, mutation);
    string const violation = fleet.run();
    if (!violation.empty()) return "seed " + std::to_string(seed) + ": " + violation;
  }
  return "";
}

void expectDetected(TallyFleet::Mutation mutation, std::uint64_t maxSeeds = 40) {
  string const violation = firstViolation(mutation, maxSeeds);
  std::printf("%s\n", violation.c_str());
  CHECK(!violation.empty());
}
}  // namespace

TEST(tallyFleet, allReplicasConvergeWithoutLostOrDoubleCounts) {
  std::uint64_t const seeds = seedCount(40);
  std::size_t acknowledged = 0, settled = 0, wipes = 0, removals = 0, forwarded = 0, refused = 0;
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
    removals += fleet.removals();
    forwarded += fleet.forwardedReads();
    refused += fleet.refusedReads();
  }
  if (only) return;
  // The runs acknowledged and settled additions in numbers that matter.
  CHECK(acknowledged > 100 * seeds);
  CHECK(settled > 10 * seeds);
  CHECK(forwarded > 100 * seeds);
  CHECK(refused > seeds);

  std::printf("%zu acknowledged, %zu settled, %zu wipes, %zu removals, %zu reads forwarded, %zu refused\n",
              acknowledged, settled, wipes, removals, forwarded, refused);
}
TEST(tallyFleet, anIdForgottenTooEarlyIsDetected) {
  expectDetected(TallyFleet::Mutation::forgetsIds);
}
TEST(tallyFleet, anOriginReusedAfterAWipeIsDetected) {
  expectDetected(TallyFleet::Mutation::reusesOrigin, 200);
}
TEST(tallyFleet, anAcknowledgementBeforeTheSyncIsDetected) {
  expectDetected(TallyFleet::Mutation::acknowledgesUnsynced);
}
TEST(tallyFleet, anAcknowledgementOnOneDiskIsDetected) {
  expectDetected(TallyFleet::Mutation::acknowledgesAlone);
}
TEST(tallyFleet, aMergeByTheLargerTotalIsDetected) {
  expectDetected(TallyFleet::Mutation::mergesByLargerTotal);
}
TEST(tallyFleet, aReadBeforeCatchingUpIsDetected) {
  expectDetected(TallyFleet::Mutation::readsBeforeCatchUp);
}
/// Guards against reads at a node without a disk that lacked what the same node had acknowledged (review/7).
TEST(tallyFleet, aReadAtAMemberThatLacksAcknowledgedAdditionsIsDetected) {
  expectDetected(TallyFleet::Mutation::readsAtAnyMember);
}
TEST(tallyFleet, readsRefusedForGoodAfterALossAreDetected) {
  expectDetected(TallyFleet::Mutation::requiresLostAdditions, 200);
}
TEST(tallyFleet, aReadWithoutAnAdditionThatMembersYetLackIsDetected) {
  expectDetected(TallyFleet::Mutation::takesMissingForLost, 200);
}
TEST(tallyFleet, anAdditionAppliedTwiceIsDetected) {
  expectDetected(TallyFleet::Mutation::appliesTwice);
}
