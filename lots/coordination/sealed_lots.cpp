// Sealed lots: no more results are listed, and their replicas never change again.
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

/// The primary reported under the recorded stamp that all results are listed, so every holder has synced them.
Task<RecoveryOutcome> LotCoordinator::seal(LotRecord lot, Epoch epoch) {
  LotStatus& status = lots_[lot.key()];
  bool const isCurrent = status.finalStamp == lot.stamp && lot.holders.size() >= neededCopies();
  if (!isCurrent) co_return RecoveryOutcome::recordChanged;
  lot.sealedStamp = lot.stamp;
  lot.sealedResults = status.finalResults;
  lot.stamp = freshStamp(lot.host);
  bool const saved = co_await save(lot, epoch);
  co_return saved ? RecoveryOutcome::done : RecoveryOutcome::recordNotWritten;
}

Task<LotCoordinator::HolderConfirmations> LotCoordinator::confirmSealedHolders(LotRecord lot) {
  HolderConfirmations answers;
  ConfirmReplicas const request{{{lot.host, lot.id, lot.sealedStamp}}};
  for (StoreRef const& holder : lot.holders) {
    if (isDiskReplaced(holder)) continue;
    if (isDead(holder.id, Clock::now())) {
      answers.unreachable.push_back(holder);
      continue;
    }
    try {
      ConfirmReplicasReply const reply = co_await rpc_.call(holder.address, request, settings_.bounds.inTouch / 4);
      bool const sameDisk = reply.self == holder.id;
      if (sameDisk && !reply.held.empty() && reply.held[0]) answers.confirmed.push_back(holder);
    } catch (Error const& error) {
      logDebug("lots", "store " + holder.name + " didn't confirm its replica of lot " + lot.id + ": " + error.what());
      answers.unreachable.push_back(holder);
    }
  }
  co_return answers;
}

vector<StoreRef> LotCoordinator::trimHolders(vector<StoreRef> holders, std::size_t count) const {
  auto const used = [this](StoreRef const& store) {
    auto const status = stores_.find(store.id);
    return status == stores_.end() ? 0 : status->second.load.used;
  };
  while (holders.size() > count) {
    auto const sharesZone = [&holders](StoreRef const& store) {
      return std::count_if(holders.begin(), holders.end(),
                           [&store](StoreRef const& other) { return other.zone == store.zone; }) > 1;
    };
    auto const fullest = std::max_element(holders.begin(), holders.end(), [&](auto const& left, auto const& right) {
      return std::pair(sharesZone(left), used(left)) < std::pair(sharesZone(right), used(right));
    });
    holders.erase(fullest);
  }
  return holders;
}

Task<RecoveryOutcome> LotCoordinator::replicateSealed(LotRecord lot, Epoch epoch) {
  LotStatus& status = lots_[lot.key()];
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  HolderConfirmations const answers = co_await confirmSealedHolders(lot);
  if (answers.confirmed.empty()) co_return RecoveryOutcome::noIntactReplica;
  vector<StoreRef> staying, leaving;
  for (StoreRef const& holder : answers.confirmed) {
    bool const leaves = retiring.contains(holder.name) || isDiskFailing(holder.id);
    (leaves ? leaving : staying).push_back(holder);
  }
  if (mustTrimSpares_) staying = trimHolders(std::move(staying), neededCopies());
  LotRecord next = lot;
  next.stamp = freshStamp(lot.host);
  CopyReplica const copy{next, {}, lot.sealedStamp, lot.sealedResults};
  RecoveryCopies const copies = co_await makeCopies(copy, answers.confirmed, staying, {});
  next.holders = copies.holders;
  bool const enough = next.holders.size() >= neededCopies();
  // While too few copies are confirmed, the record keeps every store that has or may have one, so that each can serve
  // reads.
  if (!enough) {
    vector<StoreRef> others = leaving;
    others.insert(others.end(), answers.unreachable.begin(), answers.unreachable.end());
    for (StoreRef const& store : others)
      if (!containsStore(next.holders, store.id)) next.holders.push_back(store);
  }
  bool const unchanged = next.holders.size() == lot.holders.size() &&
                         std::all_of(next.holders.begin(), next.holders.end(),
                                     [&lot](StoreRef const& store) { return containsStore(lot.holders, store.id); });
  if (!unchanged) {
    bool const saved = co_await save(next, epoch);
    if (!saved) co_return RecoveryOutcome::recordNotWritten;
  }
  status.reports.clear();
  if (enough) co_return RecoveryOutcome::done;
  co_return copies.refused ? RecoveryOutcome::copiesRefused : RecoveryOutcome::tooFewStores;
}

}  // namespace tealshelf
