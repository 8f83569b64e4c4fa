#include "lots/coordination/lot_recovery.hpp"

#include "lots/coordination/holder_reports.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
StoreRef storeNumber(std::uint64_t number) {
  return {NodeId(number), "store-" + std::to_string(number), "zone", {}};
}
InspectReplicaReply replyOf(std::uint64_t number, bool known, std::uint64_t stamp) {
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

/// Guards against a loss of lots: the primary of one record reported holders that a partition separated from it, and
/// these became the holders of the next record.
TEST(holderReports, reportsEndWithTheStampOfTheirRecord) {
  HolderReports reports;
  reports.addFailed(GenerationStamp(4), NodeId(2));
  reports.addUnsettled(GenerationStamp(4));
  CHECK(reports.failedUnder(GenerationStamp(4)).contains(NodeId(2)));
  CHECK(reports.failedUnder(GenerationStamp(5)).empty());
  CHECK_FALSE(reports.requireRecovery(GenerationStamp(5)));
}
TEST(holderReports, aReportUnderANewStampDropsEarlierReports) {
  HolderReports reports;
  reports.addFailed(GenerationStamp(4), NodeId(2));
  reports.addUnsettled(GenerationStamp(5));
  CHECK(reports.requireRecovery(GenerationStamp(5)));
  CHECK(reports.failedUnder(GenerationStamp(5)).empty());
}
TEST(holderReports, aLateReportUnderAnEarlierStampIsIgnored) {
  HolderReports reports;
  reports.addFailed(GenerationStamp(5), NodeId(1));
  reports.addFailed(GenerationStamp(4), NodeId(2));
  CHECK(reports.failedUnder(GenerationStamp(5)) == std::set<NodeId>{NodeId(1)});
}

TEST_GROUP(lotRecovery){};

TEST(lotRecovery, aPrimaryOutsideTheRecoveryIsFencedBeforeAStampIsAllocated) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({std::nullopt, replyOf(2, true, 7), replyOf(3, true, 7)});
  CHECK(std::holds_alternative<recovery_step::FenceStore>(recovery.step()));
  recovery.fenced(false);
  CHECK(std::get<recovery_step::End>(recovery.step()).outcome == RecoveryOutcome::primaryNotFenced);
}
/// The primary keeps renewing its lease for its other lots, so fencing it would never succeed.
TEST(lotRecovery, aPrimaryThatReportsNoIntactReplicaNeedsNoFence) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({replyOf(1, false, 0), replyOf(2, true, 7), replyOf(3, true, 7)});
  CHECK(std::holds_alternative<recovery_step::AllocateStamp>(recovery.step()));
}
TEST(lotRecovery, aReplyFromAnotherDiskAtThePrimarysAddressIsIgnored) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({replyOf(9, false, 0), replyOf(2, true, 7), replyOf(3, true, 7)});
  CHECK(std::holds_alternative<recovery_step::FenceStore>(recovery.step()));
}
TEST(lotRecovery, recoveryEndsIfTheNodeIsNoLongerTheOwner) {
  LotRecovery recovery = recoveryOfThree();
  recovery.inspected({replyOf(1, true, 7), replyOf(2, true, 7), replyOf(3, true, 7)});
  recovery.stamped(std::nullopt);
  CHECK(std::get<recovery_step::End>(recovery.step()).outcome == RecoveryOutcome::notOwner);
}
TEST(lotRecovery, noSurvivorTakesTheFreshStampBeforeTheCopiesExist) {
  LotRecovery recovery = recoveryOfThree({NodeId(3)});
  recovery.inspected({replyOf(1, true, 7), replyOf(2, true, 7)});
  recovery.stamped(GenerationStamp(8));
  recovery_step::MakeCopies const first = std::get<recovery_step::MakeCopies>(recovery.step());
  CHECK(first.excluded.contains(NodeId(3)));
  recovery.copied({first.holders, 0, 1});
  // The failed store may get a fresh copy if no other store accepts one.
  recovery_step::MakeCopies const second = std::get<recovery_step::MakeCopies>(recovery.step());
  CHECK(second.excluded.empty());
  recovery.copied({second.holders, 0, 1});
  CHECK(std::get<recovery_step::End>(recovery.step()).outcome == RecoveryOutcome::copiesRefused);
}
