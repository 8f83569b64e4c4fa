// Heartbeats, leases and choice of stores.
#include "lots/lot_coordinator.hpp"

namespace tealshelf {

bool LotCoordinator::isDead(NodeId store, TimePoint now) const {
  auto const status = stores_.find(store);
  // One that was never heard gets a while after this process's start.
  TimePoint const heardAt =
      status == stores_.end() ? startedAt_ + settings_.bounds.catchUp / 2 : status->second.heardAt;
  return now > heardAt && now - heardAt > settings_.bounds.inTouch * 3 / 10;
}

bool LotCoordinator::isDiskFailing(NodeId store) const {
  auto const status = stores_.find(store);
  return status != stores_.end() && status->second.diskFailing;
}

vector<StoreRef> LotCoordinator::liveStores(TimePoint now) const {
  vector<StoreRef> live;
  for (auto const& [id, status] : stores_) {
    bool const heard = now - status.heardAt <= settings_.bounds.inTouch / 4;
    if (heard && !status.leaving && !status.diskFailing) live.push_back(status.ref);
  }
  return live;
}

bool LotCoordinator::isKnownStore(string const& name) const {
  return std::any_of(stores_.begin(), stores_.end(),
                     [&name](auto const& item) { return item.second.ref.name == name; });
}

vector<StoreRef> LotCoordinator::choose(string const& lot, std::set<NodeId> const& excluded, vector<StoreRef> holders,
                                        std::size_t count, TimePoint now) const {
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  vector<StoreRef> live = liveStores(now);
  std::sort(live.begin(), live.end(), [&lot](StoreRef const& left, StoreRef const& right) {
    return hash64(left.name, hash64(lot)) > hash64(right.name, hash64(lot));
  });
  for (bool const otherZonesOnly : {true, false})
    for (StoreRef const& store : live) {
      bool used = excluded.contains(store.id) || retiring.contains(store.name) || closedStores_.contains(store.name);
      bool zoneUsed = false;
      for (StoreRef const& holder : holders) {
        used = used || holder.id == store.id || holder.name == store.name;
        zoneUsed = zoneUsed || holder.zone == store.zone;
      }
      bool const fits = !used && !(otherZonesOnly && zoneUsed);
      if (fits && holders.size() < count) holders.push_back(store);
    }
  return holders;
}

Task<Acknowledgement> LotCoordinator::fence(FenceStore request) {
  co_return Acknowledgement{leases_.fence(request.store, Clock::now())};
}

void LotCoordinator::noteProgress(StoreHeartbeat const& heartbeat, TimePoint now) {
  StoreStatus& store = stores_[heartbeat.self.id];
  store.ref = heartbeat.self;
  store.heardAt = now;
  store.leaving = heartbeat.leaving;
  store.diskFailing = heartbeat.diskFailing;
  for (LotProgress const& progress : heartbeat.progress) {
    LotStatus& lot = lots_[progress.key()];
    lot.finishedTokens = std::max(lot.finishedTokens, progress.finishedTokens);
    lot.listedResults = std::max(lot.listedResults, progress.listedResults);
  }
  for (HolderFailure const& failure : heartbeat.failures) {
    if (!driver_.consensus().owns(keyspaceOf(failure.host))) continue;
    std::optional<LotRecord> const lot = load(failure.key());
    if (!lot || lot->stamp != failure.stamp) continue;
    LotStatus& status = lots_[failure.key()];
    if (failure.holder == heartbeat.self.id)
      status.primaryNeedsSettlement = true;
    else
      status.failedHolders.insert(failure.holder);
  }
}

/// Adds the records of a keyspace that changed since a revision. A new ownership counts as a change of all.
void LotCoordinator::addRecords(string const& keyspace, std::uint64_t sinceRevision, StoreHeartbeatReply& reply) {
  string const host = keyspace.substr(keyspaceOf("").size());
  Values const& records = driver_.consensus().committedValues(keyspace);
  Epoch const epoch = driver_.consensus().epochOf(keyspace);
  if (knownEpochs_[keyspace] != epoch) {
    knownEpochs_[keyspace] = epoch;
    ++revision_;
    for (auto const& [id, record] : records) lots_[{host, id}].revision = revision_;
    reply.revision = revision_;
  }
  for (auto const& [id, record] : records)
    if (lots_[{host, id}].revision > sinceRevision) reply.lots.push_back(deserialize<LotRecord>(record));
}

void LotCoordinator::addStaleReplicas(string const& keyspace, StoreHeartbeat const& heartbeat,
                                      StoreHeartbeatReply& reply) const {
  for (ReplicaVersion const& replica : heartbeat.replicas) {
    if (keyspaceOf(replica.host) != keyspace) continue;
    std::optional<LotRecord> const lot = load(replica.key());
    bool const stale = !lot || (!lot->isHeldBy(heartbeat.self.id) && replica.stamp < lot->stamp);
    if (stale) reply.staleReplicas.push_back({replica.host, replica.lot, lot ? lot->stamp : replica.stamp});
  }
}

Task<void> LotCoordinator::confirmStaleReplicas(StoreHeartbeatReply& reply) {
  std::set<string> hosts;
  for (ReplicaVersion const& replica : reply.staleReplicas) hosts.insert(replica.host);
  for (string const& host : hosts) {
    bool const confirmed = co_await driver_.confirmOwnership(keyspaceOf(host), settings_.bounds.inTouch / 15);
    if (confirmed) continue;
    std::erase_if(reply.staleReplicas, [&host](ReplicaVersion const& replica) { return replica.host == host; });
  }
}

Task<StoreHeartbeatReply> LotCoordinator::receiveHeartbeat(StoreHeartbeat heartbeat) {
  TimePoint const now = Clock::now();
  noteProgress(heartbeat, now);
  // A store with a failing disk serves reads on, unless others can take its lots over.
  bool const replaced = heartbeat.diskFailing && liveStores(now).size() >= neededCopies();
  bool const ready = driver_.inContactWithMajority() && !replaced;
  LeaseGrants::Decision const decision = leases_.renew(heartbeat.self.id, heartbeat.lease, ready, now);
  StoreHeartbeatReply reply;
  reply.granted = decision == LeaseGrants::Decision::granted;
  reply.fenced = decision == LeaseGrants::Decision::fenced;
  reply.fencedUpTo = leases_.fencedUpTo(heartbeat.self.id);
  reply.process = processId_;
  reply.revision = revision_;
  reply.members = driver_.consensus().membership().members;
  std::uint64_t const since = heartbeat.process == processId_ ? heartbeat.revision : 0;
  reply.ownedKeyspaces = ownedKeyspaces();
  for (string const& keyspace : reply.ownedKeyspaces) {
    addRecords(keyspace, since, reply);
    addStaleReplicas(keyspace, heartbeat, reply);
  }
  co_await confirmStaleReplicas(reply);
  co_return reply;
}

}  // namespace tealshelf
