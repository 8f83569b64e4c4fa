// State machine of the recovery of an unsealed lot.

#include "lots/coordination/lot_recovery.hpp"

#include "base/invariant.hpp"
#include "lots/coordination/replica_rules.hpp"

namespace tealshelf {

LotRecovery::LotRecovery(RecoveryStart start) : start_(std::move(start)), recovered_(start_.lot) {
  if (start_.live.empty())
    end(RecoveryOutcome::noLiveHolder);
  else
    step_ = recovery_step::InspectHolders{start_.live};
}

void LotRecovery::addReply(StoreRef const& holder, std::optional<InspectReplicaReply> const& reply) {
  // A reply from another disk at the holder's address says nothing about the holder's replica.
  if (!reply || reply->self != holder.id) return;
  if (reply->known && reply->stamp >= start_.lot.stamp) {
    survivors_.push_back(holder);
    commonLength_ = std::min(commonLength_, reply->results);
    return;
  }
  ++withoutReplicaCount_;
  // A primary that reports no intact replica answers no reads, even with a valid lease.
  if (holder.id == primary() && !reply->known) primaryCannotServe_ = true;
}

void LotRecovery::inspected(vector<std::optional<InspectReplicaReply>> const& replies) {
  for (std::size_t i = 0; i < start_.live.size() && i < replies.size(); ++i) addReply(start_.live[i], replies[i]);
  if (survivors_.empty()) return end(RecoveryOutcome::noIntactReplica);
  // A primary that isn't among the survivors may continue to answer reads under its lease.
  bool const mayServe = !primaryCannotServe_ && !containsStore(survivors_, primary());
  if (mayServe)
    step_ = recovery_step::FenceStore{primary()};
  else
    step_ = recovery_step::AllocateStamp{};
}

void LotRecovery::fenced(bool done) {
  if (!done) return end(RecoveryOutcome::primaryNotFenced);
  primaryCannotServe_ = true;
  bool const hasStamp = recovered_.stamp != start_.lot.stamp;
  if (hasStamp)
    step_ = recovery_step::SaveRecord{recovered_};
  else
    step_ = recovery_step::AllocateStamp{};
}

void LotRecovery::stamped(std::optional<GenerationStamp> stamp) {
  if (!stamp) return end(RecoveryOutcome::notOwner);
  recovered_.stamp = *stamp;
  // Stores that aren't retiring come first, so that one of them becomes the primary.
  auto const leaving = std::stable_partition(survivors_.begin(), survivors_.end(), [this](StoreRef const& store) {
    return !start_.retiring.contains(store.name);
  });
  stayingCount_ = static_cast<std::size_t>(leaving - survivors_.begin());
  // Stores that failed the primary are excluded, unless too few others are available.
  makeCopies(vector<StoreRef>(survivors_.begin(), leaving), start_.failed);
}

void LotRecovery::makeCopies(vector<StoreRef> holders, std::set<NodeId> excluded) {
  CopyReplica request{recovered_, {}, start_.lot.stamp, commonLength_};
  step_ = recovery_step::MakeCopies{std::move(request), survivors_, std::move(holders), std::move(excluded)};
}

void LotRecovery::copied(RecoveryCopies copies) {
  copies_ = std::move(copies);
  bool const triesOthers = copies_.holders.size() < minHolders() && !start_.failed.empty();
  if (triesOthers && !std::exchange(allowsFailedStores_, true)) return makeCopies(copies_.holders, {});
  settleIfEnoughCopies();
}

void LotRecovery::settleIfEnoughCopies() {
  std::size_t const reachable = holdersAfterRecovery(survivors_, copies_.holders, start_.neededCopies).size();
  // With fewer, the recovery waits for unreachable holders to come back with their copies. If none can come back, the
  // lot continues with the copies left, as no result is listed while there are too few.
  bool const enough = reachable >= minHolders() || allHoldersAccountedFor();
  if (!enough) return end(copies_.refused ? RecoveryOutcome::copiesRefused : RecoveryOutcome::tooFewStores);
  checkInvariant(Invariant::freshStampAfterCopies, enough, [this] { return start_.lot.id; });
  LotRecord const& lot = start_.lot;
  step_ = recovery_step::SettleHolders{survivors_, {lot.host, lot.id, lot.stamp, recovered_.stamp, commonLength_}};
}

void LotRecovery::settled(vector<StoreRef> const& stores) {
  vector<StoreRef> remaining;
  for (std::size_t i = 0; i < stayingCount_; ++i)
    if (containsStore(stores, survivors_[i].id)) remaining.push_back(survivors_[i]);
  remaining.insert(remaining.end(), copies_.holders.begin() + static_cast<std::ptrdiff_t>(stayingCount_),
                   copies_.holders.end());
  recovered_.holders = holdersAfterRecovery(stores, remaining, start_.neededCopies);
  bool const allOfThoseLeft = allHoldersAccountedFor() && stores.size() == survivors_.size();
  bool const enough = recovered_.holders.size() >= minHolders() || allOfThoseLeft;
  if (stores.empty() || !enough) return end(RecoveryOutcome::notSettled);
  bool const mayServe = !primaryCannotServe_ && !containsStore(stores, primary());
  if (mayServe)
    step_ = recovery_step::FenceStore{primary()};
  else
    step_ = recovery_step::SaveRecord{recovered_};
}

void LotRecovery::saved(bool done) {
  if (!done) return end(RecoveryOutcome::recordNotWritten);
  written_ = true;
  // If only the spare copy was refused, the recovery is retried with a growing delay.
  bool const lacksSpare = recovered_.holders.size() < start_.neededCopies + 1;
  bool const spareRefused = copies_.refused && !copies_.made && lacksSpare;
  end(spareRefused ? RecoveryOutcome::copiesRefused : RecoveryOutcome::done);
}

string LotRecovery::describe() const {
  string text = "record " + hex(start_.lot.stamp.value) + ", holders";
  for (StoreRef const& holder : start_.lot.holders) {
    text += " " + holder.name;
    if (start_.failed.contains(holder.id))
      text += " (failed)";
    else if (!containsStore(start_.live, holder.id))
      text += " (lost)";
    else if (containsStore(survivors_, holder.id))
      text += " (intact)";
  }
  text += "; " + std::to_string(withoutReplicaCount_) + " without a replica";
  return text + ", copies made " + std::to_string(copies_.made) + ", refused " + std::to_string(copies_.refused);
}

}  // namespace tealshelf
