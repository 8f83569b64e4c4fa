// Recovery of a lot that goes on: survivors are inspected, copies made, and all settled under a fresh stamp.
#include "base/invariant.hpp"
#include "lots/coordination/lot_coordinator.hpp"

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
      // Another disk may have come to the holder's address; it says nothing of the holder's own.
      if (replica.self != holder.id) continue;
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

/// A store that refuses or fails a copy is passed over, so that one without room doesn't stand in the way of others.
Task<LotCoordinator::Copies> LotCoordinator::makeCopies(CopyReplica request, vector<StoreRef> sources,
                                                        vector<StoreRef> holders, std::set<NodeId> excluded) {
  Copies copies{std::move(holders), 0, 0};
  Placement const placement{request.lot.id, CopyPurpose::recovery, 0, request.lot.holders};
  for (;;) {
    vector<StoreRef> const chosen = chooseWithSpare(placement, excluded, copies.holders, Clock::now());
    if (chosen.size() <= copies.holders.size()) co_return copies;
    StoreRef const& target = chosen[copies.holders.size()];
    request.source = sources[(copies.made + copies.refused) % sources.size()].address;
    try {
      co_await rpc_.call(target.address, request, settings_.bounds.inTouch / 2);
      copies.holders.push_back(target);
      ++copies.made;
    } catch (Error const& error) {
      logInfo("lots", request.lot.id + ": " + target.name + " took no copy: " + error.what());
      excluded.insert(target.id);
      ++copies.refused;
    }
  }
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
    if (isDiskGone(holder))
      ++gone;
    else if (!isDead(holder.id, now) && !isDiskFailing(holder.id) && !failed.contains(holder.id))
      live.push_back(holder);
  }
  if (live.empty()) {
    status.failedHolders.clear();
    co_return RecoveryOutcome::noLiveHolder;
  }
  NodeId const primary = lot.holders[0].id;
  Survivors const survivors = co_await inspectHolders(lot, live);
  if (survivors.stores.empty()) co_return RecoveryOutcome::noIntactReplica;
  // A primary that takes no part may go on answering reads under its lease.
  bool fenced = false;
  if (!containsStore(survivors.stores, primary)) {
    fenced = co_await fenceEverywhere(primary);
    if (!fenced) co_return RecoveryOutcome::primaryNotFenced;
  }
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
  // Stores that failed the writer are excluded, unless too few others are there.
  CopyReplica const copy{recovered, {}, lot.stamp, survivors.shortest};
  Copies copies = co_await makeCopies(copy, kept, staying, failed);
  if (copies.holders.size() < minHolders && !failed.empty())
    copies = co_await makeCopies(copy, kept, copies.holders, {});
  vector<StoreRef> const copied(copies.holders.begin() + static_cast<std::ptrdiff_t>(staying.size()),
                                copies.holders.end());
  std::size_t const reachable = holdersAfterRecovery(kept, copies.holders, neededCopies()).size();
  if (reachable < minHolders && !noOtherCopy)
    co_return copies.refused ? RecoveryOutcome::copiesRefused : RecoveryOutcome::tooFewStores;
  checkInvariant(Invariant::freshStampAfterCopies, reachable >= minHolders || noOtherCopy, [&] { return lot.id; });
  vector<StoreRef> const settled = co_await settleHolders(lot, kept, recovered.stamp, survivors.shortest);
  vector<StoreRef> remaining;
  for (StoreRef const& store : staying)
    if (containsStore(settled, store.id)) remaining.push_back(store);
  remaining.insert(remaining.end(), copied.begin(), copied.end());
  recovered.holders = holdersAfterRecovery(settled, remaining, neededCopies());
  bool const enough = recovered.holders.size() >= minHolders || (noOtherCopy && settled.size() == kept.size());
  if (settled.empty() || !enough) co_return RecoveryOutcome::notSettled;
  if (!fenced && !containsStore(settled, primary)) {
    fenced = co_await fenceEverywhere(primary);
    if (!fenced) co_return RecoveryOutcome::primaryNotFenced;
  }
  bool const saved = co_await save(recovered, epoch);
  if (!saved) co_return RecoveryOutcome::recordNotWritten;
  status.failedHolders.clear();
  status.primaryNeedsSettlement = false;
  string names;
  for (StoreRef const& holder : recovered.holders) names += " " + holder.name;
  logInfo("lots", lot.id + " is recovered under stamp " + hex(recovered.stamp.value) + " with " +
                      std::to_string(survivors.shortest) + " results at" + names);
  // A wished copy that was refused is tried again, but with a pause that grows.
  bool const wishRefused = copies.refused && !copies.made && recovered.holders.size() < neededCopies() + 1;
  co_return wishRefused ? RecoveryOutcome::copiesRefused : RecoveryOutcome::done;
}

}  // namespace tealshelf
