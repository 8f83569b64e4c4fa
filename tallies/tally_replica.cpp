#include "tallies/tally_replica.hpp"

#include "tallies/tally_records.hpp"

namespace tealshelf {

namespace {
/// Settling iterates over the recent additions of all origins, so it doesn't run in every tick.
constexpr int ticksBetweenSettling = 20;
}  // namespace

TallyReplica::TallyReplica(NodeId self, TallyTiming timing, TallyDurability durability)
    : self_(self), timing_(timing), durability_(durability), table_(timing.retention) {}

void TallyReplica::replay(string const& record) {
  TallyRecord const read = deserialize<TallyRecord>(record);
  switch (static_cast<TallyRecordKind>(read.kind)) {
    case TallyRecordKind::origin:
      origin_ = read.origin;
      return;
    case TallyRecordKind::additions:
      for (AddBatch const& batch : read.batches) table_.apply(batch);
      return;
    case TallyRecordKind::state:
      if (!read.state.empty()) table_.install(read.state.front());
      return;
  }
}

void TallyReplica::beginOrigin(OriginId origin) {
  origin_ = origin;
  records_.push_back(originRecord(origin));
}

vector<string> TallyReplica::snapshot() const {
  return {originRecord(origin_), stateRecord(table_.state())};
}

void TallyReplica::noteSynced(VersionVector const& synced) {
  synced_ = synced;
  digest_ = digestOf(synced_);
  hasSynced_ = true;
}

TallyTable::AddOutcome TallyReplica::add(TallyAdd addition) {
  TallyTable::AddOutcome const outcome = table_.add(origin_, addition);
  if (outcome.result == TallyTable::AddResult::added) {
    AddBatch batch;
    batch.origin = origin_;
    batch.first = outcome.position->sequence;
    batch.adds.push_back(std::move(addition));
    records_.push_back(additionsRecord(vector<AddBatch>(1, std::move(batch))));
  }
  return outcome;
}

TallyReplica::Copies TallyReplica::copiesOf(AddPosition position) const {
  Copies copies;
  if (sequenceIn(synced_, position.origin) < position.sequence) return copies;
  copies.count = 1;
  std::set<string> zones{zone_};
  for (auto const& [id, peer] : peers_) {
    if (sequenceIn(peer.synced, position.origin) >= position.sequence) {
      ++copies.count;
      zones.insert(peer.member.zone);
    } else if (isReachable(peer)) {
      copies.lackedByReachable = true;
    }
  }
  copies.areEnough = copies.count >= durability_.copies && zones.size() >= durability_.zones;
  return copies;
}

bool TallyReplica::isDurable(AddPosition position) const {
  Copies const copies = copiesOf(position);
  if (!copies.count) return false;
  if (copies.areEnough) return true;
  bool const allowsFewerCopies = heardMajority_ || ticks_ >= timing_.ticksUntilIsolated;
  if (!allowsFewerCopies || copies.lackedByReachable) return false;
  // During a short outage of the others, an addition isn't acknowledged on a single disk.
  return copies.count >= std::min<std::size_t>(2, durability_.copies) || isWithoutContact();
}

VersionVector TallyReplica::knownOf(VersionVector const& origins) const {
  VersionVector known;
  for (auto const& [origin, sequence] : origins) known[origin] = table_.lastOf(origin);
  return known;
}

VersionVector TallyReplica::including(std::optional<AddPosition> const& position) const {
  if (position) return {{position->origin, position->sequence}};
  return table_.settled();
}

void TallyReplica::setMembers(vector<Member> const& members) {
  std::map<NodeId, TallyPeer> previous = std::exchange(peers_, {});
  bool const wasMember = std::exchange(isMember_, false);
  memberCount_ = members.size();
  for (Member const& member : members) {
    if (member.id == self_) {
      isMember_ = true;
      zone_ = member.zone;
      continue;
    }
    auto const known = previous.find(member.id);
    if (known != previous.end()) peers_[member.id] = std::move(known->second);
    peers_[member.id].member = member;
  }
  if (!wasMember) ticksAsMember_ = 0;
  if (isMember_ && !wasMember) caughtUp_ = false;
  updateCatchUp();
}

void TallyReplica::noteHeartbeat(NodeId from, std::uint64_t digest, TimePoint now) {
  auto const found = peers_.find(from);
  if (found == peers_.end() || !digest) return;
  TallyPeer& peer = found->second;
  if (peer.failed) peer.nextPushAt = now;
  if (digest == this->digest()) {
    peer.differingHeartbeats = 0;
    noteReport(peer, synced_, now);
    return;
  }
  constexpr int heartbeatsUntilProbe = 3;
  if (++peer.differingHeartbeats < heartbeatsUntilProbe) return;
  peer.differingHeartbeats = 0;
  peer.probeIsDue = true;
}

void TallyReplica::noteReport(TallyPeer& peer, VersionVector const& synced, TimePoint now) {
  peer.reported = true;
  peer.synced = synced;
  for (auto const& [origin, number] : synced_) {
    std::uint64_t const theirs = sequenceIn(synced, origin);
    if (theirs >= number) {
      peer.stagnation.erase(origin);
      continue;
    }
    auto const [entry, isNew] = peer.stagnation.try_emplace(origin, TallyPeer::Stagnation{theirs, now});
    if (!isNew && entry->second.sequence != theirs) entry->second = TallyPeer::Stagnation{theirs, now};
  }
  VersionVector const settled = table_.settled();
  peer.mayLackSettled = std::any_of(settled.begin(), settled.end(), [&synced](auto const& entry) {
    return sequenceIn(synced, entry.first) < entry.second;
  });
  updateCatchUp();
}

bool TallyReplica::isRelayDue(TallyPeer const& peer, OriginId origin, TimePoint now) const {
  if (origin == origin_ || awaited_.contains(origin)) return true;
  auto const stagnation = peer.stagnation.find(origin);
  return stagnation != peer.stagnation.end() && now - stagnation->second.since >= timing_.relayAfter;
}

std::optional<TallyPush> TallyReplica::nextPush(TallyPeer& peer, TimePoint now) const {
  constexpr std::size_t maxAdds = 1024;
  TallyPush push;
  push.from = self_;
  push.to = peer.member.id;
  if (peer.outgoing) {
    push.state = nextChunk(peer);
    return push;
  }
  bool const needsReport = !peer.reported || peer.failed || peer.probeIsDue || peer.mayLackSettled;
  if (peer.reported && !peer.failed) {
    std::size_t room = maxAdds;
    for (auto const& [origin, number] : synced_) {
      std::uint64_t const theirs = sequenceIn(peer.synced, origin);
      if (theirs >= number || !room || !isRelayDue(peer, origin, now)) continue;
      AddBatch batch = table_.additionsAfter(origin, theirs, number, room);
      bool const isContiguous = batch.first == theirs + 1;
      if (batch.adds.empty() || !isContiguous) continue;
      room -= batch.adds.size();
      push.batches.push_back(std::move(batch));
    }
  }
  if (push.batches.empty() && !needsReport) return std::nullopt;
  if (peer.mayLackSettled) push.settled = table_.settled();
  return push;
}

TallyStateChunk TallyReplica::nextChunk(TallyPeer const& peer) const {
  constexpr std::size_t maxChunkBytes = 1u << 17;
  TallyPeer::OutgoingState const& outgoing = *peer.outgoing;
  TallyStateChunk chunk;
  chunk.transfer = outgoing.transfer;
  chunk.offset = outgoing.offset;
  chunk.size = outgoing.bytes.size();
  chunk.bytes = outgoing.bytes.substr(outgoing.offset, maxChunkBytes);
  return chunk;
}

vector<OutgoingPush> TallyReplica::takePushes(TimePoint now) {
  vector<OutgoingPush> pushes;
  // A node that was removed may have the only copies of additions that it acknowledged while it was cut off.
  bool const hasSomethingToSend = isMember_ || table_.recentCount() > 0;
  if (!hasSomethingToSend) return pushes;
  for (auto& [id, peer] : peers_) {
    if (peer.awaitsReply || now < peer.nextPushAt) continue;
    std::optional<TallyPush> push = nextPush(peer, now);
    if (!push) continue;
    peer.awaitsReply = true;
    peer.probeIsDue = false;
    pushes.push_back({peer.member, std::move(*push)});
  }
  return pushes;
}

void TallyReplica::receive(TallyPush const& push) {
  if (push.to != self_)
    throw Error(ErrorCode::notMember, "the push is for node " + hex(push.to.value) +
                                          ", but this address belongs to node " + hex(self_.value));
  vector<AddBatch> fresh;
  for (AddBatch const& batch : push.batches) {
    std::uint64_t const before = table_.lastOf(batch.origin);
    if (!table_.apply(batch)) continue;
    fresh.push_back(table_.additionsAfter(batch.origin, before, table_.lastOf(batch.origin), batch.adds.size()));
  }
  if (!fresh.empty()) records_.push_back(additionsRecord(std::move(fresh)));
  if (push.state.transfer) receiveChunk(push.from, push.state);
}

bool TallyReplica::lacksSettled(VersionVector const& settled) const {
  return std::any_of(settled.begin(), settled.end(),
                     [this](auto const& entry) { return table_.lastOf(entry.first) < entry.second; });
}

TallyPushReply TallyReplica::replyTo(TallyPush const& push) {
  TallyPushReply reply;
  reply.from = self_;
  reply.synced = synced_;
  bool const lacks = lacksSettled(push.settled);
  bool const continuesTransfer = incoming_ && push.state.transfer;
  bool const acceptsSender = !incoming_ || incoming_->from == push.from;
  if (!acceptsSender || !(lacks || continuesTransfer)) return reply;
  if (!incoming_) incoming_ = IncomingState{push.from, 0, "", 0};
  reply.wantsState = true;
  reply.transfer = incoming_->transfer;
  reply.offset = incoming_->bytes.size();
  return reply;
}

void TallyReplica::receiveChunk(NodeId from, TallyStateChunk const& chunk) {
  if (!incoming_ || incoming_->from != from) return;
  if (chunk.transfer != incoming_->transfer) {
    if (chunk.offset != 0) return;
    incoming_->transfer = chunk.transfer;
    incoming_->bytes.clear();
  }
  if (chunk.offset != incoming_->bytes.size()) return;
  incoming_->idleTicks = 0;
  incoming_->bytes += chunk.bytes;
  if (incoming_->bytes.size() < chunk.size) return;
  string const whole = std::move(incoming_->bytes);
  incoming_.reset();
  installState(whole);
}

void TallyReplica::installState(string const& bytes) {
  if (!table_.install(deserialize<TallyState>(bytes))) return;
  records_.push_back(stateRecord(table_.state()));
}

void TallyReplica::receive(TallyPushReply const& reply, TimePoint now) {
  auto const found = peers_.find(reply.from);
  if (found == peers_.end()) return;
  TallyPeer& peer = found->second;
  peer.awaitsReply = peer.failed = false;
  peer.ticksWithoutReply = 0;
  ticksSinceAnswer_ = 0;
  noteReport(peer, reply.synced, now);
  if (!reply.wantsState) {
    peer.outgoing.reset();
    // The peer may be receiving the state from another node; it is asked again after a delay.
    if (peer.mayLackSettled) peer.nextPushAt = now + timing_.retryAfter;
    return;
  }
  bool const isSame = peer.outgoing && peer.outgoing->transfer == reply.transfer;
  if (!isSame) peer.outgoing = TallyPeer::OutgoingState{randomId(), serialize(table_.state()), 0};
  if (isSame) peer.outgoing->offset = std::min<std::uint64_t>(reply.offset, peer.outgoing->bytes.size());
}

void TallyReplica::noteFailure(NodeId id, TimePoint now) {
  auto const found = peers_.find(id);
  if (found == peers_.end()) return;
  TallyPeer& peer = found->second;
  peer.awaitsReply = false;
  peer.failed = true;
  peer.outgoing.reset();
  peer.nextPushAt = now + timing_.retryAfter;
}

void TallyReplica::updateCatchUp() {
  if (!isMember_) return;
  std::size_t heard = 1, caughtUpWith = 1;
  for (auto const& [id, peer] : peers_) {
    if (!peer.reported) continue;
    ++heard;
    bool const hasAll = std::all_of(peer.synced.begin(), peer.synced.end(),
                                    [this](auto const& entry) { return table_.lastOf(entry.first) >= entry.second; });
    if (hasAll) ++caughtUpWith;
  }
  std::size_t const quorum = memberCount_ / 2 + 1;
  heardMajority_ = heardMajority_ || heard >= quorum;
  bool const mayServeAlone = !heardMajority_ && ticksAsMember_ >= timing_.ticksUntilIsolated;
  caughtUp_ = caughtUp_ || caughtUpWith >= quorum || mayServeAlone;
}

void TallyReplica::tick(std::int64_t wallClockMs) {
  ++ticks_;
  ++ticksAsMember_;
  ++ticksSinceAnswer_;
  for (auto& [id, peer] : peers_)
    if (peer.awaitsReply || peer.failed) ++peer.ticksWithoutReply;
  if (incoming_ && ++incoming_->idleTicks > timing_.ticksUntilUnreachable) incoming_.reset();
  updateCatchUp();
  if (++ticksSinceSettled_ >= ticksBetweenSettling) settle(wallClockMs);
}

void TallyReplica::settle(std::int64_t wallClockMs) {
  ticksSinceSettled_ = 0;
  table_.forget(wallClockMs);
  if (!isMember_) return;
  VersionVector syncedByAll = synced_;
  for (auto const& [id, peer] : peers_) {
    if (!peer.reported) return;
    for (auto& [origin, number] : syncedByAll) number = std::min(number, sequenceIn(peer.synced, origin));
  }
  table_.settle(syncedByAll, wallClockMs - timing_.settleAfter.count());
}

}  // namespace tealshelf
