// Heartbeats and leases of stores, and their choice as holders.
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

namespace {
/// Fractions of the stores' total limit up to which spare copies are made, and up to which they are kept.
constexpr double maxLoadForSpares = 0.5, maxLoadToKeepSpares = 0.6;
}  // namespace

bool LotCoordinator::isDead(NodeId store, TimePoint now) const {
  auto const status = stores_.find(store);
  // A store without a heartbeat so far gets a grace period after the start of this process.
  TimePoint const lastHeartbeatAt =
      status == stores_.end() ? startedAt_ + settings_.bounds.catchUp / 2 : status->second.lastHeartbeatAt;
  return now > lastHeartbeatAt && now - lastHeartbeatAt > settings_.bounds.inTouch * 3 / 10;
}

bool LotCoordinator::isDiskFailing(NodeId store) const {
  auto const status = stores_.find(store);
  return status != stores_.end() && status->second.diskFailing;
}

vector<StoreRef> LotCoordinator::liveStores(TimePoint now) const {
  vector<StoreRef> live;
  for (auto const& [id, status] : stores_) {
    bool const isRecent = now - status.lastHeartbeatAt <= settings_.bounds.inTouch / 4;
    if (isRecent && !status.leaving && !status.diskFailing) live.push_back(status.ref);
  }
  return live;
}

bool LotCoordinator::isKnownStore(string const& name) const {
  return std::any_of(stores_.begin(), stores_.end(),
                     [&name](auto const& item) { return item.second.ref.name == name; });
}

bool LotCoordinator::isDiskReplaced(StoreRef const& holder) const {
  auto const status = stores_.find(holder.id);
  TimePoint const lastHeartbeatAt = status == stores_.end() ? TimePoint() : status->second.lastHeartbeatAt;
  return std::any_of(stores_.begin(), stores_.end(), [&](auto const& item) {
    StoreStatus const& other = item.second;
    return other.ref.name == holder.name && other.ref.id != holder.id && other.lastHeartbeatAt > lastHeartbeatAt;
  });
}

vector<StoreRef> LotCoordinator::chooseHolders(Placement const& placement, std::set<NodeId> const& excluded,
                                               vector<StoreRef> holders, std::size_t count, TimePoint now) const {
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  vector<StoreRef> live = liveStores(now);
  std::sort(live.begin(), live.end(), [&placement](StoreRef const& left, StoreRef const& right) {
    std::uint64_t const seed = hash64(placement.lot);
    return hash64(left.name, seed) > hash64(right.name, seed);
  });
  for (bool const otherZonesOnly : {true, false})
    for (StoreRef const& store : live) {
      bool used = excluded.contains(store.id) || retiring.contains(store.name) || excludedStores_.contains(store.name);
      bool zoneUsed = false;
      for (StoreRef const& holder : holders) {
        used = used || holder.id == store.id || holder.name == store.name;
        zoneUsed = zoneUsed || holder.zone == store.zone;
      }
      bool const fits = !used && !(otherZonesOnly && zoneUsed) && canPlaceOn(placement, store);
      if (fits && holders.size() < count) holders.push_back(store);
    }
  return holders;
}

/// A store that has a replica of the lot can always replace it by a fresh one, even if it has no room for others.
bool LotCoordinator::canPlaceOn(Placement const& placement, StoreRef const& store) const {
  bool const hasReplica = std::any_of(placement.currentHolders.begin(), placement.currentHolders.end(),
                                      [&store](StoreRef const& holder) { return holder.id == store.id; });
  return hasReplica || hasRoom(stores_.at(store.id).load, placement.purpose, placement.bytes);
}

vector<StoreRef> LotCoordinator::chooseWithSpare(Placement placement, std::set<NodeId> const& excluded,
                                                 vector<StoreRef> const& holders, TimePoint now) const {
  vector<StoreRef> const needed = chooseHolders(placement, excluded, holders, neededCopies(), now);
  if (needed.size() < neededCopies() || !roomForSpares_) return needed;
  placement.purpose = CopyPurpose::spare;
  return chooseHolders(placement, excluded, needed, neededCopies() + 1, now);
}

FleetLoad LotCoordinator::fleetLoad(TimePoint now) const {
  FleetLoad fleet;
  std::set<string> names;
  vector<StoreRef> const live = liveStores(now);
  for (StoreRef const& store : live) {
    fleet.stores.push_back(stores_.at(store.id).load);
    names.insert(store.name);
  }
  // A store lost recently is one of the losses to survive, and its copies must be restored on the others. Stores lost
  // long ago no longer count.
  std::set<string> lost;
  for (auto const& [id, status] : stores_) {
    if (containsStore(live, id) || now - status.lastHeartbeatAt > settings_.bounds.catchUp) continue;
    fleet.lostBytes += status.load.used + status.load.expectedGrowth;
    if (!names.contains(status.ref.name)) lost.insert(status.ref.name);
  }
  std::size_t const survive = static_cast<std::size_t>(settings_.surviveMachines);
  fleet.lossesToTolerate = survive - std::min(survive, lost.size());
  fleet.neededCopies = neededCopies();
  fleet.neededCopyShare = neededCopyShare_;
  return fleet;
}

void LotCoordinator::updateRoomForSpares(TimePoint now) {
  double used = 0, limits = 0;
  for (StoreLoad const& store : fleetLoad(now).stores) {
    used += static_cast<double>(store.used + store.expectedGrowth);
    limits += static_cast<double>(store.limit);
  }
  roomForSpares_ = used <= maxLoadForSpares * limits;
  mustTrimSpares_ = used > maxLoadToKeepSpares * limits;
}

Task<Acknowledgement> LotCoordinator::fence(FenceStore request) {
  co_return Acknowledgement{leases_.fence(request.store, Clock::now())};
}

void LotCoordinator::recordHeartbeat(StoreHeartbeat const& heartbeat, TimePoint now) {
  StoreStatus& store = stores_[heartbeat.self.id];
  store.ref = heartbeat.self;
  store.lastHeartbeatAt = now;
  store.leaving = heartbeat.leaving;
  store.diskFailing = heartbeat.diskFailing;
  store.load = heartbeat.load;
  for (LotProgress const& progress : heartbeat.progress) {
    LotStatus& lot = lots_[progress.key()];
    lot.finishedTokens = std::max(lot.finishedTokens, progress.finishedTokens);
    lot.listedResults = std::max(lot.listedResults, progress.listedResults);
    if (!progress.final || progress.stamp < lot.finalStamp) continue;
    lot.finalStamp = progress.stamp;
    lot.finalResults = progress.listedResults;
  }
  for (HolderFailure const& failure : heartbeat.failures) {
    if (!driver_.consensus().owns(keyspaceOf(failure.host))) continue;
    std::optional<LotRecord> const lot = load(failure.key());
    if (!lot || lot->stamp != failure.stamp) continue;
    LotStatus& status = lots_[failure.key()];
    if (failure.holder == heartbeat.self.id && !lot->isSealed())
      status.reports.addUnsettled(failure.stamp);
    else
      status.reports.addFailed(failure.stamp, failure.holder);
  }
}

/// Adds the records of a keyspace that changed since a revision. A new ownership counts as a change of all records.
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
  for (ReplicaVersion const& replica : heartbeat.replicas)
    if (keyspaceOf(replica.host) == keyspace && isStale(replica, heartbeat.self.id)) {
      std::optional<LotRecord> const lot = load(replica.key());
      reply.staleReplicas.push_back({replica.host, replica.lot, lot ? lot->stamp : replica.stamp});
    }
}

bool LotCoordinator::isStale(ReplicaVersion const& replica, NodeId store) const {
  std::optional<LotRecord> const lot = load(replica.key());
  if (!lot) return true;
  // No replica is deleted while the record names fewer holders than needed.
  bool const replaced = lot->holders.size() >= neededCopies() && !lot->isHeldBy(store);
  return replaced && replica.stamp < lot->stamp;
}

Task<void> LotCoordinator::confirmStaleReplicas(NodeId store, StoreHeartbeatReply& reply) {
  std::set<string> hosts;
  for (ReplicaVersion const& replica : reply.staleReplicas) hosts.insert(replica.host);
  for (string const& host : hosts) {
    bool const confirmed = co_await driver_.confirmOwnership(keyspaceOf(host), settings_.bounds.inTouch / 15);
    // The lot may have been opened or recovered during the confirmation.
    std::erase_if(reply.staleReplicas, [&](ReplicaVersion const& replica) {
      return replica.host == host && !(confirmed && isStale(replica, store));
    });
  }
}

Task<StoreHeartbeatReply> LotCoordinator::receiveHeartbeat(StoreHeartbeat heartbeat) {
  TimePoint const now = Clock::now();
  recordHeartbeat(heartbeat, now);
  // A store with a failing disk keeps its lease and serves reads until enough other stores can take over its lots.
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
  co_await confirmStaleReplicas(heartbeat.self.id, reply);
  co_return reply;
}

}  // namespace tealshelf
