// Simulated stores: heartbeats, leases and execution of lots.
#include "tests/lots/lot_fleet_sim.hpp"

namespace tealshelf::sim {

bool LotFleet::hasLease(Store const& store) const {
  std::size_t granted = 0;
  for (auto const& [node, at] : store.grantedAt) granted += now_ - at < inTouch / 5;
  return granted > controls_.size() / 2;
}

void LotFleet::sendHeartbeats(Store& store) {
  ++store.heartbeatCount;
  for (std::unique_ptr<Control> const& node : controls_)
    if (runs(*node) && linked(machineOf(store), node->index)) handleHeartbeat(store, *node);
  reconcile(store);
}

void LotFleet::report(Store& store, Control& node) {
  auto const addReport = [&node](LotRecord const& lot, NodeId holder, NodeId self) {
    auto const record = node.records.find(lot.id);
    if (!node.epoch || record == node.records.end() || record->second.stamp != lot.stamp) return;
    LotStatus& status = node.lots[lot.id];
    if (holder == self)
      status.reports.addUnsettled(lot.stamp);
    else
      status.reports.addFailed(lot.stamp, holder);
    if (holder != self) status.everFailed.insert(holder);
  };
  for (auto const& [key, unusable] : store.unusable) {
    LotRecord lot;
    lot.id = key.id;
    lot.stamp = unusable.stamp;
    if (now_ - unusable.since > inTouch / 12) addReport(lot, store.self.id, store.self.id);
  }
  for (auto const& [key, run] : store.runs)
    for (NodeId const holder : run.failedHolders) addReport(run.lot, holder, store.self.id);
}

void LotFleet::handleHeartbeat(Store& store, Control& node) {
  node.lastHeartbeats[store.self.id] = {store.self, now_};
  report(store, node);
  LeaseGrants::Decision const decision = node.leases->renew(store.self.id, store.lease, hasMajority(node), now_);
  if (decision == LeaseGrants::Decision::granted) store.grantedAt[node.index] = now_;
  bool const isLost = decision == LeaseGrants::Decision::fenced && !hasLease(store);
  if (isLost) renewLease(store, node.leases->fencedUpTo(store.self.id));
  if (!node.epoch) return;
  for (auto const& [id, lot] : node.records) learnRecord(store, lot);
  if (store.heartbeatCount % 6 || !confirmsOwnership(node)) return;
  for (ReplicaVersion const& replica : store.table.versions()) {
    auto const record = node.records.find(replica.lot);
    if (record == node.records.end()) continue;
    LotRecord const& lot = record->second;
    bool const isReplaced = lot.holders.size() >= neededCopies && !lot.isHeldBy(store.self.id);
    if (!isReplaced || replica.stamp >= lot.stamp) continue;
    store.table.remove(replica.key(), lot.stamp);
    store.runs.erase(replica.key());
    store.lots.erase(replica.key());
    store.unusable.erase(replica.key());
  }
  flush(store);
}

void LotFleet::renewLease(Store& store, std::uint64_t fencedUpTo) {
  if (mutation_ == Mutation::fencedLeaseIsKept) return;
  store.lease = std::max(store.lease, fencedUpTo) + 1;
  store.grantedAt.clear();
  for (auto& [key, run] : store.runs) {
    run.stalled = true;
    store.table.requireSettlement(key);
  }
}

void LotFleet::learnRecord(Store& store, LotRecord const& lot) {
  LotRecord& known = store.lots[lot.key()];
  bool const isOutdated = lot.stamp < known.stamp || (lot.stamp == known.stamp && lot.state < known.state);
  if (known.stamp.value && isOutdated) return;
  known = lot;
}

void LotFleet::reconcile(Store& store) {
  for (auto const& [key, lot] : store.lots) {
    if (lot.state == LotState::opening) continue;
    bool const isPrimary = !lot.holders.empty() && lot.holders[0].id == store.self.id;
    Replica const* const replica = store.table.find(key);
    bool const isUsable =
        replica && replica->lot.stamp == lot.stamp && replica->settledSinceStart && !replica->underRecovery;
    bool const isIntact = isPrimary ? isUsable : !lot.isHeldBy(store.self.id) || store.table.holds(key, lot.stamp);
    if (!isPrimary) store.runs.erase(key);
    if (isIntact) {
      store.unusable.erase(key);
      if (isPrimary) startRun(store, lot);
      continue;
    }
    UnusableSince& unusable = store.unusable[key];
    if (unusable.stamp != lot.stamp) unusable = {lot.stamp, isPrimary ? now_ : now_ + inTouch / 4};
  }
}

void LotFleet::startRun(Store& store, LotRecord const& lot) {
  Run& run = store.runs[lot.key()];
  if (run.lot.stamp == lot.stamp) return;
  run = Run{lot, store.table.find(lot.key())->results.size(), 0, false, {}, {}};
}

void LotFleet::appendNextResult(Store& store, Run& run) {
  if (run.listedAfterAppend) {
    bool const isPending =
        std::any_of(run.calls.begin(), run.calls.end(), [](auto const& call) { return !call.second->done; });
    if (isPending) return;
    bool acceptedByAll = true;
    for (auto const& [holder, call] : run.calls) {
      acceptedByAll = acceptedByAll && call->accepted;
      if (!call->accepted && holder != store.self.id) run.failedHolders.insert(holder);
    }
    if (acceptedByAll) run.listed = std::max(run.listed, run.listedAfterAppend);
    if (!acceptedByAll) run.stalled = true;
    run.listedAfterAppend = 0;
    return;
  }
  Replica const* const replica = store.table.find(run.lot.key());
  bool const mayList = !run.stalled && hasLease(store) && replica && replica->lot.stamp == run.lot.stamp &&
                       replica->results.size() < items && run.lot.holders.size() >= neededCopies;
  if (!mayList || pick(40)) return;
  std::uint64_t const from = replica->results.size();
  vector<string> const results{"result " + std::to_string(++resultCount_)};
  run.listedAfterAppend = from + 1;
  run.calls.clear();
  LotKey const key = run.lot.key();
  for (StoreRef const& holder : run.lot.holders) {
    auto const append = [key, stamp = run.lot.stamp, from, results](Store& target) {
      target.table.append(key, stamp, from, results);
      return true;
    };
    run.calls.emplace_back(holder.id, callStore(machineOf(store), holder, append, inTouch / 6));
  }
}

}  // namespace tealshelf::sim
