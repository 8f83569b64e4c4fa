// Carries out the steps of LotRecovery for unsealed lots.
#include "lots/coordination/lot_coordinator.hpp"

#include "wire/call_each.hpp"

namespace tealshelf {

namespace {
vector<Address> addressesOf(vector<StoreRef> const& stores) {
  vector<Address> addresses;
  for (StoreRef const& store : stores) addresses.push_back(store.address);
  return addresses;
}
}  // namespace

Task<bool> LotCoordinator::fenceAtMajority(NodeId store) {
  // A fence without a majority would only revoke the store's lease at the members that it reaches.
  if (!driver_.inContactWithMajority()) co_return false;
  FenceStore const request{store};
  Acknowledgement const own = co_await fence(request);
  std::size_t const neededOthers = driver_.consensus().membership().quorum() - (own.ok ? 1 : 0);
  vector<Address> others;
  for (Member const& member : driver_.consensus().membership().members)
    if (member.id != driver_.consensus().self().id) others.push_back(settings_.controlAddress(member.ip));
  // callEach() stops at a majority: unreachable members must not delay lots that a partition left without a primary.
  auto const isFenced = [neededOthers](vector<CallOutcome<Acknowledgement>> const& outcomes) {
    auto const fenced =
        std::count_if(outcomes.begin(), outcomes.end(),
                      [](CallOutcome<Acknowledgement> const& outcome) { return outcome.reply && outcome.reply->ok; });
    return static_cast<std::size_t>(fenced) >= neededOthers;
  };
  vector<CallOutcome<Acknowledgement>> const outcomes =
      co_await callEach(io_, rpc_, std::move(others), request, settings_.bounds.inTouch / 6, isFenced);
  co_return isFenced(outcomes);
}

/// Asks holders for the stamps and lengths of their replicas; no reply for a holder that didn't answer.
Task<vector<std::optional<InspectReplicaReply>>> LotCoordinator::inspectHolders(LotKey key, vector<StoreRef> holders) {
  InspectReplica const request{key.host, key.id};
  vector<CallOutcome<InspectReplicaReply>> outcomes =
      co_await callEach(io_, rpc_, addressesOf(holders), request, settings_.bounds.inTouch / 4);
  vector<std::optional<InspectReplicaReply>> replies;
  for (std::size_t i = 0; i < holders.size(); ++i) {
    if (!outcomes[i].reply)
      logDebug("lots", "replica of lot " + key.id + " at store " + holders[i].name +
                           " can't be inspected: " + outcomes[i].error);
    replies.push_back(std::move(outcomes[i].reply));
  }
  co_return replies;
}

/// Returns the holders that settled their replica. The replica of any other holder is stale from now on.
Task<vector<StoreRef>> LotCoordinator::settleHolders(recovery_step::SettleHolders step) {
  vector<CallOutcome<Acknowledgement>> const outcomes =
      co_await callEach(io_, rpc_, addressesOf(step.holders), step.request, settings_.bounds.inTouch / 4);
  vector<StoreRef> settled;
  for (std::size_t i = 0; i < step.holders.size(); ++i) {
    if (outcomes[i].reply)
      settled.push_back(step.holders[i]);
    else
      logInfo("lots", "lot " + step.request.lot + ": store " + step.holders[i].name +
                          " didn't settle its replica under stamp " + hex(step.request.newStamp.value) + ": " +
                          outcomes[i].error);
  }
  co_return settled;
}

/// A store that refuses or fails a copy is skipped, so that one full store doesn't block the recovery.
Task<RecoveryCopies> LotCoordinator::makeCopies(CopyReplica request, vector<StoreRef> sources, vector<StoreRef> holders,
                                                std::set<NodeId> excluded) {
  RecoveryCopies copies{std::move(holders), 0, 0};
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
      logInfo("lots", "lot " + request.lot.id + ": copy to store " + target.name +
                          " failed, store is skipped: " + error.what());
      excluded.insert(target.id);
      ++copies.refused;
    }
  }
}

RecoveryStart LotCoordinator::recoveryStart(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  RecoveryStart start{lot, {}, 0, status.reports.failedUnder(lot.stamp), {}, neededCopies()};
  if (retiringStores) start.retiring = retiringStores();
  for (StoreRef const& holder : lot.holders) {
    if (isDiskReplaced(holder))
      ++start.lostDisks;
    else if (!isLost(holder, now) && !start.failed.contains(holder.id))
      start.live.push_back(holder);
  }
  return start;
}

/// Allocates a fresh stamp, if this node still owns the keyspace under the epoch in which the recovery began.
std::optional<GenerationStamp> LotCoordinator::stampIfOwner(string const& host, Epoch epoch) {
  string const keyspace = keyspaceOf(host);
  bool const isOwner = driver_.consensus().owns(keyspace) && driver_.consensus().epochOf(keyspace) == epoch;
  return isOwner ? std::optional<GenerationStamp>(freshStamp(host)) : std::nullopt;
}

Task<RecoveryOutcome> LotCoordinator::recoverUnsealed(LotRecord lot, Epoch epoch) {
  namespace step = recovery_step;
  LotStatus& status = lots_[lot.key()];
  LotRecovery recovery(recoveryStart(lot, status, Clock::now()));
  while (!std::holds_alternative<step::End>(recovery.step())) {
    RecoveryStep const next = recovery.step();
    if (step::InspectHolders const* const inspect = std::get_if<step::InspectHolders>(&next)) {
      vector<std::optional<InspectReplicaReply>> const replies = co_await inspectHolders(lot.key(), inspect->holders);
      recovery.inspected(replies);
    } else if (step::FenceStore const* const fence = std::get_if<step::FenceStore>(&next)) {
      bool const fenced = co_await fenceAtMajority(fence->store);
      recovery.fenced(fenced);
    } else if (std::holds_alternative<step::AllocateStamp>(next)) {
      recovery.stamped(stampIfOwner(lot.host, epoch));
    } else if (step::MakeCopies const* const make = std::get_if<step::MakeCopies>(&next)) {
      RecoveryCopies copies = co_await makeCopies(make->request, make->sources, make->holders, make->excluded);
      recovery.copied(std::move(copies));
    } else if (step::SettleHolders const* const settle = std::get_if<step::SettleHolders>(&next)) {
      vector<StoreRef> const settled = co_await settleHolders(*settle);
      recovery.settled(settled);
    } else {
      bool const saved = co_await save(std::get<step::SaveRecord>(next).lot, epoch);
      recovery.saved(saved);
    }
  }
  RecoveryOutcome const outcome = std::get<step::End>(recovery.step()).outcome;
  status.lastRecoverySummary = recovery.describe();
  // All holders are reported as failed; the next attempt inspects them to find the usable ones.
  if (outcome == RecoveryOutcome::noLiveHolder) status.reports.clear();
  if (recovery.isWritten()) logRecovered(recovery);
  co_return outcome;
}

void LotCoordinator::logRecovered(LotRecovery const& recovery) {
  LotRecord const& lot = recovery.recovered();
  string names;
  for (StoreRef const& holder : lot.holders) names += " " + holder.name;
  logInfo("lots", "lot " + lot.id + " is recovered under stamp " + hex(lot.stamp.value) + " with " +
                      std::to_string(recovery.length()) + " results at stores" + names);
}

}  // namespace tealshelf
