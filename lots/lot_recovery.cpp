// Recovery of a lot that goes on: survivors are inspected, copies made, and all settled under a fresh stamp.
#include "base/invariant.hpp"
#include "lots/lot_coordinator.hpp"

namespace tealshelf {

Task<bool> LotCoordinator::fenceEverywhere(NodeId store) {
  std::size_t fencedAt = 0;
  vector<Member> const members = driver_.consensus().membership().members;
  for (Member const& member : members) {
    try {
      FenceStore const request{store};
      Acknowledgement answer{false};
      if (member.id == driver_.consensus().self().id)
        answer = co_await fence(request);
      else
        answer = co_await rpc_.call(settings_.controlAddress(member.ip), request, settings_.bounds.inTouch / 6);
      if (answer.ok) ++fencedAt;
    } catch (Error const&) {
      // One that doesn't answer doesn't count.
    }
  }
  co_return fencedAt >= driver_.consensus().membership().quorum();
}

/// Collects stamps and lengths; replicas below the recorded stamp don't count.
Task<LotCoordinator::Survivors> LotCoordinator::inspectHolders(LotRecord lot, vector<StoreRef> holders) {
  Survivors survivors;
  for (StoreRef const& holder : holders) {
    try {
      InspectReplica const request{lot.host, lot.id};
      InspectReplicaReply const replica = co_await rpc_.call(holder.address, request, settings_.bounds.inTouch / 4);
      if (!replica.known || replica.stamp < lot.stamp) {
        ++survivors.withoutReplica;
        continue;
      }
      survivors.stores.push_back(holder);
      survivors.shortest = std::min(survivors.shortest, replica.results);
    } catch (Error const& error) {
      // It is no survivor.
      logDebug("lots", lot.id + ": " + holder.name + " can't be inspected: " + error.what());
    }
  }
  co_return survivors;
}

/// Settles replicas to a length under a fresh stamp; gives the holders that did.
Task<vector<StoreRef>> LotCoordinator::settleHolders(LotRecord lot, vector<StoreRef> holders, GenerationStamp stamp,
                                                     std::uint64_t length) {
  vector<StoreRef> settled;
  for (StoreRef const& holder : holders) {
    try {
      SettleReplica const request{lot.host, lot.id, lot.stamp, stamp, length};
      co_await rpc_.call(holder.address, request, settings_.bounds.inTouch / 4);
      settled.push_back(holder);
    } catch (Error const& error) {
      // Its replica is stale from now on.
      logInfo("lots", lot.id + ": " + holder.name + " took no fresh stamp: " + error.what());
    }
  }
  co_return settled;
}

Task<vector<StoreRef>> LotCoordinator::copyTo(vector<StoreRef> targets, CopyReplica request, vector<StoreRef> sources) {
  vector<StoreRef> copied;
  for (std::size_t index = 0; index < targets.size(); ++index) {
    request.source = sources[index % sources.size()].address;
    try {
      co_await rpc_.call(targets[index].address, request, settings_.bounds.inTouch / 2);
      copied.push_back(targets[index]);
    } catch (Error const& error) {
      // The lot does without this copy.
      logInfo("lots", request.lot.id + ": " + targets[index].name + " took no copy: " + error.what());
    }
  }
  co_return copied;
}

/// The paper's recovery: stamps are collected, those at or above the recorded one kept, the shortest length settled
/// under a fresh stamp, and only then the record is written.
///
/// The copies that are needed are made first. Until they are there no survivor takes the fresh stamp, so that a
/// recovery that has to give up leaves the replicas that the record names as they were.
Task<RecoveryOutcome> LotCoordinator::recoverOpen(LotRecord lot, Epoch epoch) {
  TimePoint const now = Clock::now();
  string const keyspace = keyspaceOf(lot.host);
  LotStatus& status = lots_[lot.key()];
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  std::set<NodeId> const failed = status.failedHolders;
  vector<StoreRef> live;
  std::size_t gone = 0;
  for (StoreRef const& holder : lot.holders) {
    if (isDiskGone(holder)) ++gone;
    if (!isDead(holder.id, now) && !isDiskFailing(holder.id) && !failed.contains(holder.id)) live.push_back(holder);
  }
  if (live.empty()) {
    status.failedHolders.clear();
    co_return RecoveryOutcome::noLiveHolder;
  }
  if (live[0].id != lot.holders[0].id) {
    bool const fenced = co_await fenceEverywhere(lot.holders[0].id);
    if (!fenced) co_return RecoveryOutcome::primaryNotFenced;
  }
  Survivors const survivors = co_await inspectHolders(lot, live);
  if (survivors.stores.empty()) co_return RecoveryOutcome::noIntactReplica;
  // The record never names fewer than survive a loss, unless it did, or no other copy is left anywhere: the stores that
  // are away may come back with the others, and nothing could be listed with one copy anyway.
  std::size_t const minHolders = std::min(neededCopies(), lot.holders.size());
  bool const noOtherCopy = survivors.stores.size() + survivors.withoutReplica + gone >= lot.holders.size();
  // Only a node that still owns the keyspace, under the epoch it began with, may give a stamp.
  if (!driver_.consensus().owns(keyspace) || driver_.consensus().epochOf(keyspace) != epoch)
    co_return RecoveryOutcome::notOwner;
  LotRecord recovered = lot;
  recovered.stamp = freshStamp(lot.host);
  // Stores that stay come first, so that one of them is the primary.
  vector<StoreRef> kept = survivors.stores;
  std::stable_partition(kept.begin(), kept.end(),
                        [&retiring](StoreRef const& store) { return !retiring.contains(store.name); });
  vector<StoreRef> staying;
  for (StoreRef const& store : kept)
    if (!retiring.contains(store.name)) staying.push_back(store);
  auto const choosing = [&](std::set<NodeId> const& excluded) {
    return chooseWithSpare({lot.id, CopyPurpose::recovery}, excluded, staying, Clock::now());
  };
  vector<StoreRef> const chosen = storesForRecovery(choosing, failed, minHolders);
  bool const possible = chosen.size() >= minHolders || kept.size() >= minHolders || noOtherCopy;
  if (!possible) co_return RecoveryOutcome::tooFewStores;
  vector<StoreRef> const targets(chosen.begin() + static_cast<std::ptrdiff_t>(staying.size()), chosen.end());
  recovered.holders = chosen;
  CopyReplica const copy{recovered, {}, lot.stamp, survivors.shortest};
  vector<StoreRef> const copied = co_await copyTo(targets, copy, kept);
  vector<StoreRef> together = staying;
  together.insert(together.end(), copied.begin(), copied.end());
  std::size_t const reachable = holdersAfterRecovery(kept, together, neededCopies()).size();
  if (reachable < minHolders && !noOtherCopy) co_return RecoveryOutcome::copiesRefused;
  checkInvariant(Invariant::freshStampAfterCopies, reachable >= minHolders || noOtherCopy, [&] { return lot.id; });
  vector<StoreRef> const settled = co_await settleHolders(lot, kept, recovered.stamp, survivors.shortest);
  auto const isSettled = [&settled](StoreRef const& store) {
    return std::find(settled.begin(), settled.end(), store) != settled.end();
  };
  vector<StoreRef> remaining;
  for (StoreRef const& store : staying)
    if (isSettled(store)) remaining.push_back(store);
  remaining.insert(remaining.end(), copied.begin(), copied.end());
  recovered.holders = holdersAfterRecovery(settled, remaining, neededCopies());
  bool const enough = recovered.holders.size() >= minHolders || (noOtherCopy && settled.size() == kept.size());
  if (settled.empty() || !enough) co_return RecoveryOutcome::notSettled;
  bool const saved = co_await save(recovered, epoch);
  if (!saved) co_return RecoveryOutcome::recordNotWritten;
  status.failedHolders.clear();
  status.primaryNeedsSettlement = false;
  string names;
  for (StoreRef const& holder : recovered.holders) names += " " + holder.name;
  logInfo("lots", lot.id + " is recovered under stamp " + hex(recovered.stamp.value) + " with " +
                      std::to_string(survivors.shortest) + " results at" + names);
  co_return RecoveryOutcome::done;
}

}  // namespace tealshelf
