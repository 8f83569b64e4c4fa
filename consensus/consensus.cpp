// Persistence, message dispatch and queries of the consensus state machine.
#include "consensus/consensus.hpp"

#include "consensus/keyspace_names.hpp"

namespace tealshelf {

void Consensus::replay(string const& bytes) {
  LogRecord const record = LogRecord::parse(bytes);
  if (record.kind == RecordKind::membership) {
    membership_ = record.membership.membership;
    holdsAllKeys_ = record.membership.holdsAllKeys;
    retired_ = record.membership.retired;
    self_.incarnation = record.membership.incarnation;
    formerVoter_ = record.membership.formerVoter;
    return;
  }
  if (record.keyspace == droppedKeyspaces) {
    droppedVote_ = std::max(droppedVote_, record.epoch);
    return;
  }
  KeyspaceState& keyspace = keyspaces_[record.keyspace];
  keyspace.votedEpoch = std::max(keyspace.votedEpoch, record.epoch);
  keyspace.highestSeenEpoch = std::max(keyspace.highestSeenEpoch, record.epoch);
  if (record.kind == RecordKind::append) {
    keyspace.replica.store(record.epoch, WriteRange{record.previous, record.last, record.full, record.entries});
    keyspace.replica.mergeAdjacentRanges();
  }
  if (record.kind == RecordKind::keyspace)
    keyspace.replica.reset(Position{record.appliedEpoch, record.last}, record.entries);
}

vector<string> Consensus::snapshot() const {
  vector<string> records{LogRecord::membershipChange(membershipRecord()).serialized()};
  if (droppedVote_ != Epoch()) records.push_back(LogRecord::vote(droppedKeyspaces, droppedVote_).serialized());
  for (auto const& [name, keyspace] : keyspaces_) {
    KeyspaceReplica const& replica = keyspace.replica;
    Position const applied = replica.isComplete() ? replica.applied() : Position();
    records.push_back(LogRecord::wholeKeyspace(name, keyspace.votedEpoch, replica.entries(), applied).serialized());
  }
  return records;
}

void Consensus::record(LogRecord const& record) {
  output_.records.push_back(record.serialized());
  output_.needsSync = true;
}

void Consensus::send(NodeId to, string const& keyspace, Epoch epoch, MessageBody body) {
  output_.messages.push_back(Message{membership_.number, self_.id, to, keyspace, epoch, std::move(body)});
}

void Consensus::reply(Message const& request, MessageBody body) {
  send(request.from, request.keyspace, request.epoch, std::move(body));
}

void Consensus::tick(TimePoint now) {
  contacts_.recordTick(now);
  if (!mayVote()) return;
  dropIdleKeyspaces(now);
  TimePoint const contact = majorityContact(now);
  bool const contactLost = contact == TimePoint() || now - contact > timeouts_.stepDown;
  for (auto& [name, keyspace] : keyspaces_) {
    if (isIdle(keyspace, now)) continue;
    if (contactLost && keyspace.phase != OwnershipPhase::notOwner) stepDown(keyspace);
    expireOperations(keyspace, now);
    updateOwnership(name, keyspace, now);
    resendPending(name, keyspace, now);
    retireCommittedWrites(keyspace, now);
  }
}

void Consensus::receive(Message const& message, TimePoint now) {
  bool const addressed = message.membership == membership_.number && message.to == self_.id;
  if (!addressed || !membership_.find(message.from) || !mayVote()) return;
  // A late reply doesn't bring back a keyspace that was dropped.
  if (!isRequest(message.body) && !keyspaces_.contains(message.keyspace)) return;
  KeyspaceState& keyspace = stateOf(message.keyspace);
  keyspace.lastUsedAt = now;
  keyspace.highestSeenEpoch = std::max({keyspace.highestSeenEpoch, message.epoch, votedEpochOf(message.body)});
  // Before the message is handled: an owner resumed after a suspension must not complete operations that have expired.
  expireOperations(keyspace, now);
  std::visit([&](auto const& body) { handle(message, body, keyspace, now); }, message.body);
}

void Consensus::receiveHeartbeat(Heartbeat const& heartbeat, TimePoint now) {
  NodeId const sender = heartbeat.sender.id;
  if (sender == self_.id) return;
  bool const current = contacts_.receive(heartbeat, now);
  if (!current || heartbeat.membership != membership_.number || !membership_.find(sender)) return;
  for (KeyspaceProgress const& progress : heartbeat.keyspaces) {
    if (progress.empty && !keyspaces_.contains(progress.keyspace)) continue;
    KeyspaceState& keyspace = stateOf(progress.keyspace);
    if (!progress.empty) keyspace.lastUsedAt = now;
    keyspace.highestSeenEpoch = std::max(keyspace.highestSeenEpoch, progress.epoch);
    if (progress.owned) keyspace.replica.advanceCommitted(Position{progress.epoch, progress.committed});
    if (keyspace.phase == OwnershipPhase::owner && !progress.owned) checkLag(progress, sender, keyspace, now);
  }
}

void Consensus::receiveEcho(NodeId from, ProcessTime const& sentAt, TimePoint now) {
  contacts_.receiveEcho(from, sentAt, now);
}

Heartbeat Consensus::heartbeat(TimePoint now) const {
  Heartbeat heartbeat;
  heartbeat.sender = self_;
  heartbeat.membership = membership_.number;
  heartbeat.holdsAllKeys = holdsAllKeys_ && !ineligibleAsOwner_;
  heartbeat.sentAt = contacts_.clockReading(now);
  heartbeat.echoes = contacts_.echoes(now);
  for (auto const& [name, keyspace] : keyspaces_) {
    if (isIdle(keyspace, now)) continue;
    Position const applied = keyspace.replica.applied();
    KeyspaceProgress progress;
    progress.keyspace = name;
    progress.owned = keyspace.phase == OwnershipPhase::owner;
    progress.epoch = progress.owned ? keyspace.epoch : applied.epoch;
    progress.applied = applied.sequence;
    progress.committed = keyspace.committedSequence;
    progress.empty = keyspace.replica.entries().empty();
    heartbeat.keyspaces.push_back(progress);
  }
  return heartbeat;
}

vector<string> Consensus::keyspaces() const {
  vector<string> names;
  for (auto const& [name, keyspace] : keyspaces_) names.push_back(name);
  return names;
}

bool Consensus::isAlive(NodeId node, TimePoint now) const {
  return contacts_.isAlive(node, membership_, now);
}

TimePoint Consensus::majorityContact(TimePoint now) const {
  return contacts_.majorityContact(membership_, now);
}

bool Consensus::inContactWithMajority(TimePoint now) const {
  TimePoint const contact = majorityContact(now);
  return contact != TimePoint() && now - contact <= timeouts_.contactExpiry;
}

bool Consensus::isReady(NodeId node, TimePoint now) const {
  if (node == self_.id) return holdsAllKeys_;
  Heartbeat const* const heartbeat = contacts_.lastHeartbeat(node);
  return heartbeat && isAlive(node, now) && heartbeat->holdsAllKeys && heartbeat->membership == membership_.number;
}

Ms Consensus::silentFor(NodeId node, TimePoint now) const {
  return contacts_.silentFor(node, now);
}

Member const* Consensus::preferredOwner(string const& keyspace, TimePoint now) const {
  Member const* best = nullptr;
  std::tuple<bool, bool, std::uint64_t> bestRank;
  for (Member const& member : membership_.members) {
    if (!isAlive(member.id, now)) continue;
    Heartbeat const* const heartbeat = contacts_.lastHeartbeat(member.id);
    bool const eligible =
        member.id == self_.id ? holdsAllKeys_ && !ineligibleAsOwner_ : heartbeat && heartbeat->holdsAllKeys;
    if (!eligible) continue;
    // Members with a disk come before members without one, deprioritized members after the others.
    std::tuple<bool, bool, std::uint64_t> const rank(member.hasDisk, !isDeprioritizedOwner(keyspace, member.id),
                                                     hash64(hex(member.id.value), hash64(keyspace)));
    if (best && rank <= bestRank) continue;
    best = &member;
    bestRank = rank;
  }
  return best;
}

bool Consensus::isDeprioritizedOwner(string const& keyspace, NodeId node) const {
  auto const found = deprioritizedOwners_.find(keyspace);
  return found != deprioritizedOwners_.end() && found->second.contains(node);
}

bool Consensus::owns(string const& keyspace) const {
  auto const found = keyspaces_.find(keyspace);
  return found != keyspaces_.end() && found->second.phase == OwnershipPhase::owner;
}

bool Consensus::storesEntriesOf(string const& keyspace) const {
  auto const found = keyspaces_.find(keyspace);
  return found != keyspaces_.end() && !found->second.replica.entries().empty();
}

Epoch Consensus::epochOf(string const& keyspace) const {
  auto const found = keyspaces_.find(keyspace);
  return found == keyspaces_.end() ? Epoch() : found->second.epoch;
}

Values const& Consensus::committedValues(string const& keyspace) const {
  static Values const noValues;
  auto const found = keyspaces_.find(keyspace);
  return found == keyspaces_.end() ? noValues : found->second.replica.committedValues();
}

std::optional<Values> Consensus::lastKnownValues(string const& keyspace) const {
  auto const found = keyspaces_.find(keyspace);
  if (found == keyspaces_.end() || found->second.replica.committedAt() == Position()) return std::nullopt;
  return found->second.replica.committedValues();
}

}  // namespace tealshelf
