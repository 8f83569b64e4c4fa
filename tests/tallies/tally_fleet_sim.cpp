// Simulated processes, disks and links.
#include "tests/tallies/tally_fleet_sim.hpp"

namespace tealshelf::sim {

TallyFleet::TallyFleet(std::uint64_t seed, Mutation mutation, Ms length)
    : random_(seed), mutation_(mutation), length_(length) {
  std::size_t const zones = 2 + pick(3);
  std::size_t const count = std::max<std::size_t>(5, zones * 2);
  for (std::size_t i = 0; i < count; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_[i]->index = i;
    nodes_[i]->zone = "z" + std::to_string(i % zones);
    assignNewIdentity(*nodes_[i]);
  }
  for (std::unique_ptr<Node> const& node : nodes_) members_.push_back(node->self);
  std::size_t const withoutDisk = 1 + pick(2);
  for (std::size_t i = count; i < count + withoutDisk; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_[i]->index = i;
    nodes_[i]->zone = "z" + std::to_string(pick(zones));
    nodes_[i]->hasDisk = false;
    assignNewIdentity(*nodes_[i]);
  }
  blocked_.assign(nodes_.size(), vector<bool>(nodes_.size(), false));
  for (std::unique_ptr<Node> const& node : nodes_) {
    installMembers(*node);
    start(*node);
  }
}

Violation TallyFleet::run() {
  while (elapsed_ < length_ && violation_.empty()) {
    if (pick(100) == 0) injectFault();
    if (pick(4) == 0) call(calledNode());
    removeIsolated();
    advance();
    wipeAfterAcknowledgement();
    if (pick(3) == 0) read(calledNode());
  }
  finish();
  if (violation_.empty()) checkEnd();
  return violation_;
}

void TallyFleet::finish() {
  heal();
  finishing_ = true;
  for (std::unique_ptr<Node> const& node : nodes_) {
    node->restartAt = std::min(node->restartAt, now_);
    node->frozenUntil = std::min(node->frozenUntil, now_);
  }
  // Reads of a lost addition are refused for lossTimeout, counted from the first one that finds it missing.
  Ms const rest = 2 * mergeTime + lossTimeout;
  constexpr Ms readPeriod{200};
  for (Ms waited(0); waited < rest && violation_.empty(); waited += step) {
    advance();
    if (waited % readPeriod == Ms(0))
      for (std::unique_ptr<Node> const& node : nodes_) read(*node);
  }
}

TallyTiming TallyFleet::timing(Mutation mutation) {
  Ms const retention = mutation == Mutation::forgetsIds ? Ms(8) : Ms(3600000);
  return {10, 80, Ms(250), Ms(500), Ms(2000), retention};
}

Ms TallyFleet::lossTimeoutOf(Mutation mutation) {
  if (mutation == Mutation::requiresLostAdditions) return std::chrono::hours(1);
  if (mutation == Mutation::takesMissingForLost) return Ms(0);
  return lossTimeout;
}

void TallyFleet::assignNewIdentity(Node& node) {
  node.self.id = NodeId(++lastId_);
  node.self.name = "n" + std::to_string(node.index);
  node.self.zone = node.zone;
}

void TallyFleet::start(Node& node) {
  ++node.life;
  node.up = true;
  node.upSince = now_;
  node.pending.clear();
  node.replies.clear();
  node.callers.clear();
  node.acknowledgedInThisLife.clear();
  node.session = TallySession(lossTimeoutOf(mutation_));
  node.frozenUntil = now_;
  node.syncsStarted = node.syncsDone = 0;
  node.replica = std::make_unique<TallyReplica>(node.self.id, timing(mutation_), TallyDurability{survive + 1, 2});
  for (string const& record : node.disk) node.replica->replay(record);
  if (!node.replica->hasOrigin()) {
    OriginId const fresh(random_());
    bool const reuses = mutation_ == Mutation::reusesOrigin && node.firstOrigin != OriginId();
    if (!reuses) node.firstOrigin = fresh;
    node.replica->beginOrigin(node.firstOrigin);
  }
  node.replica->setMembers(node.installedMembers);
  flush(node);
}

void TallyFleet::flush(Node& node) {
  PendingSync sync;
  sync.records = node.replica->takeRecords();
  sync.known = node.replica->known();
  sync.doneAt = now_ + Ms(5 + pick(10));
  if (!node.pending.empty()) sync.doneAt = std::max(sync.doneAt, node.pending.back().doneAt);
  ++node.syncsStarted;
  node.pending.push_back(std::move(sync));
}

void TallyFleet::finishSyncs(Node& node) {
  while (!node.pending.empty() && node.pending.front().doneAt <= now_) {
    PendingSync const sync = std::move(node.pending.front());
    node.pending.pop_front();
    node.disk.insert(node.disk.end(), sync.records.begin(), sync.records.end());
    node.replica->noteSynced(sync.known);
    ++node.syncsDone;
    // Occasionally the log is replaced by a snapshot of what was just synced.
    if (node.pending.empty() && pick(40) == 0) node.disk = node.replica->snapshot();
  }
  for (PendingReply const& reply : node.replies)
    if (reply.afterSyncs <= node.syncsDone) answer(node, reply);
  std::erase_if(node.replies, [&node](PendingReply const& reply) { return reply.afterSyncs <= node.syncsDone; });
}

void TallyFleet::answer(Node& node, PendingReply const& pending) {
  Packet packet;
  packet.from = node.index;
  packet.to = pending.to;
  packet.reply = node.replica->replyTo(pending.push);
  transmit(std::move(packet));
}

void TallyFleet::transmit(Packet packet) {
  packet.at = now_ + Ms(1 + pick(20));
  packet.toLife = nodes_[packet.to]->life;
  packets_.push_back(std::move(packet));
}

void TallyFleet::sendPushes(Node& node) {
  if (!node.up) return;
  std::set<OriginId> awaited;
  for (WaitingCaller const& caller : node.callers) awaited.insert(caller.position.origin);
  node.replica->setAwaited(std::move(awaited));
  for (OutgoingPush& outgoing : node.replica->takePushes(now_)) {
    std::size_t const to = indexOf(outgoing.to.name);
    Packet timeout;
    timeout.from = to;
    timeout.to = node.index;
    timeout.isTimeout = true;
    timeout.toLife = node.life;
    timeout.at = now_ + pushLimit;
    awaiting_[{node.index, to}] = timeout.at;
    packets_.push_back(timeout);
    Packet packet;
    packet.from = node.index;
    packet.to = to;
    packet.push = std::move(outgoing.push);
    transmit(std::move(packet));
  }
}

void TallyFleet::deliver(Packet const& packet) {
  Node& node = *nodes_[packet.to];
  if (!node.up || node.life != packet.toLife) return;
  if (isFrozen(node)) {
    Packet delayed = packet;
    bool const wasAwaited = delayed.isTimeout && awaiting_[{packet.to, packet.from}] == packet.at;
    delayed.at = node.frozenUntil;
    if (wasAwaited) awaiting_[{packet.to, packet.from}] = delayed.at;
    packets_.push_back(std::move(delayed));
    return;
  }
  NodeId const peer = nodes_[packet.from]->self.id;
  if (packet.isTimeout) {
    auto const open = awaiting_.find({packet.to, packet.from});
    if (open == awaiting_.end() || open->second != packet.at) return;
    awaiting_.erase(open);
    node.replica->noteFailure(peer, now_);
    return;
  }
  if (blocked_[packet.from][packet.to]) return;
  if (packet.heartbeat) node.replica->noteHeartbeat(peer, packet.heartbeat, now_);
  if (packet.push) receivePush(node, packet);
  if (packet.reply) {
    awaiting_.erase({packet.to, packet.from});
    node.replica->receive(*packet.reply, now_);
  }
  answerCallers(node);
  sendPushes(node);
}

void TallyFleet::receivePush(Node& node, Packet const& packet) {
  try {
    applyMutation(node, packet);
    node.replica->receive(*packet.push);
  } catch (Error const&) {
    return;
  }
  flush(node);
  node.replies.push_back({packet.from, *packet.push, node.syncsStarted});
}

void TallyFleet::applyMutation(Node& node, Packet const& packet) {
  if (mutation_ == Mutation::appliesTwice && pick(20) == 0)
    for (AddBatch const& batch : packet.push->batches) TallyReplicaTestAccess::applyShifted(*node.replica, batch);
  if (mutation_ == Mutation::mergesByLargerTotal && pick(4) == 0) {
    TallyTable const& theirs = nodes_[packet.from]->replica->table();
    if (sumOf(theirs) > sumOf(node.replica->table())) TallyReplicaTestAccess::replaceTable(*node.replica, theirs);
  }
}

TallyTotal TallyFleet::sumOf(TallyTable const& table) {
  TallyTotal sum = 0;
  for (auto const& [tally, total] : table.totals()) sum += total;
  return sum;
}

void TallyFleet::advance() {
  now_ += step;
  elapsed_ += step;
  if (cutEndsAt_ && now_ >= *cutEndsAt_) heal();
  for (std::unique_ptr<Node> const& node : nodes_) stepNode(*node);
  vector<Packet> due;
  for (Packet& packet : packets_)
    if (packet.at <= now_) due.push_back(std::move(packet));
  std::erase_if(packets_, [this](Packet const& packet) { return packet.at <= now_; });
  for (Packet const& packet : due) deliver(packet);
}

void TallyFleet::stepNode(Node& node) {
  if (!node.up) {
    if (now_ < node.restartAt) return;
    start(node);
  }
  if (isFrozen(node)) {
    lastThawAt_ = now_;
    return;
  }
  bool const isAdmitted = finishing_ || (pick(100) == 0 && !(cutEndsAt_ && node.isPartitioned));
  if (node.isNewcomer && isAdmitted) admit(node);
  finishSyncs(node);
  node.sinceTick += step;
  if (node.sinceTick >= replicaTick) {
    node.sinceTick = Ms(0);
    node.replica->tick(wallMs());
    sendPushes(node);
  }
  answerCallers(node);
  if (pick(20) == 0) heartbeat(node);
}

void TallyFleet::heartbeat(Node& node) {
  for (std::unique_ptr<Node> const& peer : nodes_) {
    if (peer->index == node.index) continue;
    Packet packet;
    packet.from = node.index;
    packet.to = peer->index;
    packet.heartbeat = node.replica->digest();
    transmit(std::move(packet));
  }
}

}  // namespace tealshelf::sim
