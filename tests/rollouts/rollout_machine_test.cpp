#include "rollouts/rollout_machine.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
RolloutPlan plan() {
  Bounds bounds;
  bounds.exposureFraction = 0.1;
  bounds.exposureMargin = 50;
  return RolloutPlan::of(bounds);
}

RolloutRecord serving(std::uint64_t stage) {
  RolloutRecord record;
  record.service = "s";
  record.target = "v2";
  record.stable = "v1";
  record.stage = stage;
  record.share = plan().shares.at(stage);
  record.order = record.revision = 1;
  record.durationMs = 15000;
  return record;
}

/// Inputs of a rollout without faults: 800 requests a second, of which `share` go to the target version.
RolloutInputs healthy(Ms elapsed, double share) {
  RolloutInputs inputs;
  inputs.elapsed = elapsed;
  inputs.timeInStage = elapsed;
  inputs.confirmed = inputs.drained = inputs.targetExists = true;
  inputs.judgement.sentTotal = 0.8 * static_cast<double>(elapsed.count());
  inputs.judgement.sentToTarget = share * inputs.judgement.sentTotal;
  return inputs;
}
}  // namespace

TEST_GROUP(rolloutMachine){};

TEST(rolloutMachine, theFirstSharesAreWithinTheExposureBudget) {
  LONGS_EQUAL(3, plan().shares.size());
  CHECK(plan().shares[0] < plan().shares[1] && plan().shares[1] < 100);
  LONGS_EQUAL(fullShare, plan().shares[2]);
}
TEST(rolloutMachine, aStageWaitsForAllConfirmations) {
  RolloutInputs inputs = healthy(Ms(3000), 0.015);
  LONGS_EQUAL(1, nextRecord(serving(0), plan(), inputs)->stage);
  inputs.confirmed = false;
  CHECK_FALSE(nextRecord(serving(0), plan(), inputs).has_value());
}
TEST(rolloutMachine, aBadVersionIsRevertedInAnyStageWithoutConfirmations) {
  RolloutInputs inputs = healthy(Ms(3000), 0.015);
  inputs.confirmed = inputs.drained = false;
  inputs.judgement.verdict = VersionVerdict::bad;
  for (std::uint64_t stage = 0; stage < 3; ++stage) {
    std::optional<RolloutRecord> const next = nextRecord(serving(stage), plan(), inputs);
    CHECK(next && next->state == RolloutState::reverted);
    LONGS_EQUAL(0, next->share);
  }
}
TEST(rolloutMachine, allTrafficMovesOnlyOnceAFaultThatBeginsThenFitsTheBudget) {
  std::optional<Ms> moved;
  for (Ms elapsed(1000); elapsed < Ms(15000) && !moved; elapsed += Ms(50)) {
    std::optional<RolloutRecord> const next = nextRecord(serving(1), plan(), healthy(elapsed, 0.03));
    if (next && next->stage == 2) moved = elapsed;
  }
  CHECK(moved.has_value());
  double const total = 0.8 * 15000;
  double const exposed =
      0.03 * 0.8 * static_cast<double>(moved->count()) + 0.8 * static_cast<double>((Ms(15000) - *moved).count());
  CHECK(exposed <= 0.1 * total + 50);
  CHECK(exposed > 0.05 * total);
}
TEST(rolloutMachine, finishedWaitsUntilTheOldVersionIsDrained) {
  RolloutInputs inputs = healthy(Ms(14900), 0.1);
  inputs.drained = false;
  CHECK_FALSE(nextRecord(serving(2), plan(), inputs).has_value());
  inputs.drained = true;
  CHECK(nextRecord(serving(2), plan(), inputs)->state == RolloutState::finished);
}
TEST(rolloutMachine, aVersionWithoutWorkersStaysInItsStageAndIsRevertedLater) {
  RolloutInputs inputs = healthy(Ms(15000), 0);
  inputs.targetExists = false;
  CHECK_FALSE(nextRecord(serving(0), plan(), inputs).has_value());
  inputs.elapsed = Ms(30001);
  CHECK(nextRecord(serving(0), plan(), inputs)->state == RolloutState::reverted);
}
TEST(rolloutMachine, anEndedRolloutDoesNotChange) {
  RolloutRecord record = serving(2);
  record.state = RolloutState::finished;
  RolloutInputs inputs = healthy(Ms(15000), 0.1);
  inputs.judgement.verdict = VersionVerdict::bad;
  CHECK_FALSE(nextRecord(record, plan(), inputs).has_value());
}
