#include "lots/coordination/lot_recovery.hpp"

#include "lots/coordination/holder_reports.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
StoreRef storeNumber(std::uint64_t number) {
  return {NodeId(number), "store-" + std::to_string(number), "zone", {}};
}
InspectReplicaReply answerOf(std::uint64_t number, bool known, std::uint64_t stamp) {
  return {known, GenerationStamp(stamp), 3, NodeId(number)};
}
/// A recovery of a lot at stores 1, 2 and 3, all of them live.
LotRecovery recoveryOfThree(std::set<NodeId> failed = {}) {
  RecoveryStart start;
  start.lot.id = "lot";
  start.lot.stamp = GenerationStamp(7);
  start.lot.holders = {storeNumber(1), storeNumber(2), storeNumber(3)};
  for (StoreRef const& holder : start.lot.holders)
    if (!failed.contains(holder.id)) start.live.push_back(holder);
  start.failed = std::move(failed);
  start.neededCopies = 3;
  return LotRecovery(std::move(start));
}
}  // namespace

TEST_GROUP(holderReports){};

/// The day that lost lots: the primary of the first record reported the holders that a cut took from it, and these
/// became the holders of the second one.
TEST(holderReports, whatWasSaidOfARecordEndsWithItsStamp) {
  HolderReports reports;
  reports.addFailed(GenerationStamp(4), NodeId(2));
  reports.addUnsettled(GenerationStamp(4));
  CHECK(reports.failedUnder(GenerationStamp(4)).contains(NodeId(2)));
  CHECK(reports.failedUnder(GenerationStamp(5)).empty());
  CHECK_FALSE(reports.requireRecovery(GenerationStamp(5)));
}
TEST(holderReports, aReportUnderAFreshStampBeginsAnew) {
  HolderReports reports;
  reports.addFailed(GenerationStamp(4), NodeId(2));
  reports.addUnsettled(GenerationStamp(5));
  CHECK(reports.requireRecovery(GenerationStamp(5)));
  CHECK(reports.failedUnder(GenerationStamp(5)).empty());
}
TEST(holderReports, aLateReportUnderAnEarlierStampCountsForNothing) {
  HolderReports reports;
  reports.addFailed(GenerationStamp(5), NodeId(1));
  reports.addFailed(GenerationStamp(4), NodeId(2));
  CHECK(reports.failedUnder(GenerationStamp(5)) == std::set<NodeId>{NodeId(1)});
}

TEST_GROUP(lotRecovery){};

TEST(lotRecovery, aPrimaryThatTakesNoPartIsFencedBeforeAStampIsTaken) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({std::nullopt, answerOf(2, true, 7), answerOf(3, true, 7)});
  CHECK(std::holds_alternative<recovery_step::FenceStore>(recovery.step()));
  recovery.fenced(false);
  CHECK(std::get<recovery_step::End>(recovery.step()).outcome == RecoveryOutcome::primaryNotFenced);
}
/// It renews its lease for its other lots, so that waiting for a fence would never end.
TEST(lotRecovery, aPrimaryThatSaysItHasNoIntactReplicaNeedsNoFence) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({answerOf(1, false, 0), answerOf(2, true, 7), answerOf(3, true, 7)});
  CHECK(std::holds_alternative<recovery_step::AllocateStamp>(recovery.step()));
}
TEST(lotRecovery, anotherDiskAtThePrimarysAddressSaysNothingOfIt) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({answerOf(9, false, 0), answerOf(2, true, 7), answerOf(3, true, 7)});
  CHECK(std::holds_alternative<recovery_step::FenceStore>(recovery.step()));
}
TEST(lotRecovery, whoIsNoLongerTheOwnerGivesNoStamp) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({answerOf(1, true, 7), answerOf(2, true, 7), answerOf(3, true, 7)});
  recovery.stamped(std::nullopt);
  CHECK(std::get<recovery_step::End>(recovery.step()).outcome == RecoveryOutcome::notOwner);
}
TEST(lotRecovery, noSurvivorTakesTheFreshStampBeforeTheCopiesAreThere) {
  LotRecovery recovery = recoveryOfThree({NodeId(3)});
  recovery.inspected({answerOf(1, true, 7), answerOf(2, true, 7)});
  recovery.stamped(GenerationStamp(8));
  recovery_step::MakeCopies const first = std::get<recovery_step::MakeCopies>(recovery.step());
  CHECK(first.excluded.contains(NodeId(3)));
  recovery.copied({first.holders, 0, 1});
  // The store that failed gets a fresh copy where no other takes one.
  recovery_step::MakeCopies const second = std::get<recovery_step::MakeCopies>(recovery.step());
  CHECK(second.excluded.empty());
  recovery.copied({second.holders, 0, 1});
  CHECK(std::get<recovery_step::End>(recovery.step()).outcome == RecoveryOutcome::copiesRefused);
}
