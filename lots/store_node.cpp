#include "lots/store_node.hpp"

namespace tealshelf {

namespace {
/// Each sixth heartbeat carries the list of all replicas.
constexpr std::uint64_t heartbeatsPerReplicaList = 6;
}  // namespace

StoreNode::StoreNode(asio::io_context& io, Settings const& settings)
    : io_(io),
      settings_(settings),
      rpc_(io, settings.bounds.inTouch / 2),
      server_(io, settings.storeAddress(settings.ip), settings.bounds.inTouch / 2),
      view_(io, settings, rpc_, string(storeRole), settings.storeAddress(settings.ip)),
      replicas_(io, settings, rpc_),
      runner_(io, settings, rpc_, view_, replicas_),
      usage_(io, settings, rpc_, view_),
      self_{replicas_.id(), settings.nodeName, settings.zone, settings.storeAddress(settings.ip)},
      lease_(static_cast<std::uint64_t>(wallClockMs())) {
  runner_.hasLease = [this] { return hasLease(); };
  replicas_.onRecovery = [this](LotKey const& key) { runner_.stall(key); };
  sampler_ = metrics().sample([this] {
    metrics_.sample(replicas_.table(), unusable_.size(), hasLease());
    runner_.sampleMetrics();
  });
}

void StoreNode::start() {
  replicas_.start(server_);
  server_.onRaw(RpcMethod::startLot, [this](string body) -> Task<string> {
    updateRecord(deserialize<LotRecord>(body));
    reconcile();
    co_return "";
  });
  view_.onUpdate = [this] { runner_.wake(); };
  view_.runningAt = [this](string const& worker) { return runner_.runningAt(worker); };
  usage_.loads = [this] { return runner_.loads(); };
  view_.start(server_);
  usage_.start();
  runner_.start(server_);
  server_.start();
  spawnTask(io_, "store heartbeat", heartbeatLoop());
  logInfo("store", settings_.nodeName + " started with " + std::to_string(replicas_.table().size()) + " replicas");
}

void StoreNode::stop() {
  stopping_ = true;
  runner_.stop();
}

bool StoreNode::hasLease() const {
  TimePoint const now = Clock::now();
  std::size_t granted = 0;
  for (Member const& member : controlMembers_) {
    auto const link = controls_.find(settings_.controlAddress(member.ip));
    if (link != controls_.end() && now - link->second.leaseGrantedAt < settings_.bounds.inTouch / 5) ++granted;
  }
  return !controlMembers_.empty() && granted >= controlMembers_.size() / 2 + 1;
}

Task<void> StoreNode::heartbeatLoop() {
  for (std::uint64_t turn = 0;; ++turn) {
    vector<Address> const controls = view_.controlAddresses();
    bool const withReplicas = turn % heartbeatsPerReplicaList == 0;
    for (Address const& control : controls)
      if (!controls_[control].awaitsReply) spawnTask(io_, "heartbeat", sendHeartbeat(control, withReplicas));
    reconcile();
    co_await sleepFor(settings_.bounds.inTouch / 18);
  }
}

StoreHeartbeat StoreNode::makeHeartbeat(ControlLink const& link, bool withReplicas) const {
  StoreHeartbeat heartbeat;
  heartbeat.self = self_;
  heartbeat.lease = lease_;
  heartbeat.process = link.process;
  heartbeat.revision = link.revision;
  heartbeat.countsAsLoss = settings_.countsAsLoss;
  heartbeat.leaving = stopping_;
  heartbeat.diskFailing = !replicas_.diskHealthy();
  if (withReplicas) heartbeat.replicas = replicas_.table().versions();
  heartbeat.load = replicas_.load();
  runner_.report(heartbeat);
  TimePoint const now = Clock::now();
  for (auto const& [key, replica] : unusable_)
    if (now - replica.since > settings_.bounds.inTouch / 12)
      heartbeat.failures.push_back({key.host, key.id, replica.stamp, replicas_.id()});
  return heartbeat;
}

Task<void> StoreNode::sendHeartbeat(Address to, bool withReplicas) {
  ControlLink& link = controls_[to];
  link.awaitsReply = true;
  StoreHeartbeat const heartbeat = makeHeartbeat(link, withReplicas);
  TimePoint const sentAt = Clock::now();
  try {
    StoreHeartbeatReply const reply = co_await rpc_.call(to, heartbeat, settings_.bounds.inTouch / 5);
    // The lease runs from the time at which the heartbeat was sent, as the reply may have been delayed.
    if (reply.granted && heartbeat.lease == lease_) link.leaseGrantedAt = sentAt;
    applyReply(link, heartbeat, reply);
  } catch (Error const& error) {
    logDebug("store", error.what());
  }
  link.awaitsReply = false;
}

void StoreNode::applyReply(ControlLink& link, StoreHeartbeat const& sent, StoreHeartbeatReply const& reply) {
  controlMembers_ = reply.members;
  // A minority, such as control nodes cut off by a partition, can't fence a lease that a majority still grants.
  if (reply.fenced && sent.lease == lease_ && !hasLease()) renewLease(reply.fencedUpTo);
  if (link.process != reply.process) {
    link.process = reply.process;
    link.revision = 0;
    // The reply is a delta against a revision of the node's former process; the next heartbeat asks for all records.
    if (sent.process != 0) return;
  }
  for (LotRecord const& lot : reply.lots) updateRecord(lot);
  link.revision = std::max(link.revision, reply.revision);
  for (ReplicaVersion const& replica : reply.staleReplicas) removeStaleReplica(replica);
  replicas_.persist();
  replicas_.flush();
  reconcile();
}

void StoreNode::renewLease(std::uint64_t fencedUpTo) {
  // Lease numbers start from the wall clock, which may have been set back since the former lease.
  lease_ = std::max(lease_, fencedUpTo) + 1;
  for (auto& [address, link] : controls_) link.leaseGrantedAt = TimePoint();
  runner_.stallAll();
  logInfo("store", "leases up to number " + std::to_string(fencedUpTo) + " are fenced; requesting lease " +
                       std::to_string(lease_));
}

void StoreNode::updateRecord(LotRecord const& lot) {
  runner_.ages().learn(lot.key(), Clock::now());
  LotRecord& known = lots_[lot.key()];
  // Every change of a record raises its stamp, except a change of its state.
  bool const outdated = lot.stamp < known.stamp || (lot.stamp == known.stamp && lot.state < known.state);
  if (known.stamp.value && outdated) return;
  known = lot;
}

void StoreNode::removeStaleReplica(ReplicaVersion const& replica) {
  LotKey const key = replica.key();
  if (!replicas_.table().remove(key, replica.stamp)) return;
  runner_.abandon(key);
  lots_.erase(key);
  runner_.ages().forget(key);
  unusable_.erase(key);
  logInfo("segments", "deleted the stale replica of lot " + key.id + ", stamp " + std::to_string(replica.stamp.value) +
                          " or lower");
}

void StoreNode::reconcile() {
  TimePoint const now = Clock::now();
  for (auto const& [key, lot] : lots_) {
    if (lot.state == LotState::opening) continue;
    if (lot.isSealed()) {
      reconcileSealed(lot, now);
      continue;
    }
    bool const primary = !lot.holders.empty() && lot.holders[0].id == replicas_.id();
    if (primary)
      reconcileAsPrimary(lot, now);
    else
      reconcileAsHolder(lot, now);
  }
}

void StoreNode::reconcileAsHolder(LotRecord const& lot, TimePoint now) {
  LotKey const key = lot.key();
  if (!lot.isHeldBy(replicas_.id()) || replicas_.table().holds(key, lot.stamp))
    unusable_.erase(key);
  else
    noteMissingReplica(lot, now);
  runner_.abandon(key);
}

void StoreNode::noteMissingReplica(LotRecord const& lot, TimePoint now) {
  UnusableReplica& unusable = unusable_[lot.key()];
  // The grace period covers a copy that is still on its way here.
  if (unusable.stamp != lot.stamp) unusable = {lot.stamp, now + settings_.bounds.inTouch / 4};
}

void StoreNode::reconcileSealed(LotRecord const& lot, TimePoint now) {
  LotKey const key = lot.key();
  runner_.abandon(key);
  Replica const* const replica = replicas_.table().find(key);
  bool const complete = replica && replica->intact && replica->lot.stamp >= lot.sealedStamp &&
                        replica->results.size() >= lot.sealedResults;
  if (complete && !replica->sealed) replicas_.table().seal(key, lot.sealedStamp, lot.sealedResults);
  if (complete || !lot.isHeldBy(replicas_.id()))
    unusable_.erase(key);
  else
    noteMissingReplica(lot, now);
}

void StoreNode::reconcileAsPrimary(LotRecord const& lot, TimePoint now) {
  LotKey const key = lot.key();
  Replica const* const replica = replicas_.table().find(key);
  bool const usable = replica && replica->lot.stamp == lot.stamp && replica->settledSinceStart && replica->intact &&
                      !replica->underRecovery;
  if (!usable) {
    UnusableReplica& unusable = unusable_[key];
    if (unusable.stamp != lot.stamp) unusable = {lot.stamp, now};
    return;
  }
  unusable_.erase(key);
  LotRun const* const run = runner_.find(key);
  if (!run || run->lot.stamp != lot.stamp)
    runner_.run(lot);
  else if (run->lot.state != lot.state)
    runner_.setState(key, lot.state);
}

}  // namespace tealshelf
