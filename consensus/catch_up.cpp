// Catch-up: the owner sends lagging members the committed state in chunks while it continues to accept writes.
#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t chunkBytes = 64u << 10;
constexpr std::size_t maxRecentBytes = 256u << 10;
/// Resend timeouts after which a member that hasn't reached its target sequence number counts as lagging.
constexpr int maxLagResends = 2;
/// Resend timeouts after which an unacknowledged chunk is sent again.
constexpr int chunkResends = 4;
}  // namespace

/// The target of a member is the sequence number that was committed at the previous check. Comparing with the current
/// one would count every member as lagging under continuous writes.
void Consensus::checkLag(KeyspaceProgress const& progress, NodeId member, KeyspaceState& keyspace, TimePoint now) {
  MemberLag& lag = keyspace.lags[member];
  bool const reached = progress.epoch == keyspace.epoch && progress.applied >= lag.target;
  if (lag.since == TimePoint() || reached) {
    lag.since = now;
    lag.target = keyspace.committedSequence;
    keyspace.transfers.erase(member);
    return;
  }
  if (now - lag.since < maxLagResends * timeouts_.resend) return;
  auto const transfer = keyspace.transfers.find(member);
  if (transfer == keyspace.transfers.end())
    startTransfer(progress, member, keyspace, now);
  else if (now - transfer->second.sentAt > chunkResends * timeouts_.resend)
    sendChunk(progress.keyspace, keyspace, transfer->second, member, now);
}

/// Keeps a committed write for the catch-up of returning members; drops the oldest ones above maxRecentBytes.
void Consensus::keepRecentWrite(KeyspaceState& keyspace, PendingWrite write) {
  if (write.full) return;
  keyspace.recentBytes += byteSize(write.entries);
  keyspace.recentWrites.push_back(std::move(write));
  while (keyspace.recentBytes > maxRecentBytes) {
    keyspace.recentBytes -= byteSize(keyspace.recentWrites.front().entries);
    keyspace.recentWrites.pop_front();
  }
}

/// The entries committed after a sequence number; nothing if some of these writes are no longer kept.
std::optional<Entries> Consensus::changesAfter(KeyspaceState const& keyspace, std::uint64_t sequence) const {
  Entries changes;
  std::uint64_t reached = sequence;
  for (std::deque<PendingWrite> const* const writes : {&keyspace.recentWrites, &keyspace.writes})
    for (PendingWrite const& write : *writes) {
      if (!write.committed || write.full || write.last <= reached) continue;
      if (write.first - 1 > reached) return std::nullopt;
      for (auto const& [key, entry] : write.entries) changes[key] = entry;
      reached = write.last;
    }
  if (reached < keyspace.committedSequence) return std::nullopt;
  return changes;
}

/// The committed entries with their versions and tombstones; nothing while this node hasn't stored all of them.
std::optional<Entries> Consensus::committedEntries(KeyspaceState const& keyspace) const {
  Position const committed{keyspace.epoch, keyspace.committedSequence};
  Position const applied = keyspace.replica.applied();
  if (applied.epoch != committed.epoch || applied.sequence < committed.sequence) return std::nullopt;
  Values const& values = keyspace.replica.committedValues();
  Entries entries;
  for (auto const& [key, entry] : keyspace.replica.entries()) {
    if (entry.sequence <= committed.sequence) {
      entries.emplace(key, entry);
      continue;
    }
    // The key has a newer, uncommitted write, so its committed value is sent instead. If there is none, a tombstone
    // is sent: without it the key could reappear from a disk that missed its deletion.
    auto const value = values.find(key);
    bool const deleted = value == values.end();
    entries[key] = Entry{committed.epoch, committed.sequence, deleted ? "" : value->second, deleted};
  }
  return entries;
}

void Consensus::startTransfer(KeyspaceProgress const& progress, NodeId to, KeyspaceState& keyspace, TimePoint now) {
  std::optional<Entries> entries;
  if (progress.epoch == keyspace.epoch && progress.applied) entries = changesAfter(keyspace, progress.applied);
  bool const full = !entries;
  if (full) entries = committedEntries(keyspace);
  if (!entries) return;
  OutgoingTransfer& transfer = keyspace.transfers[to];
  transfer.id = ++lastRound_;
  transfer.full = full;
  transfer.previous = full ? 0 : progress.applied;
  transfer.last = keyspace.committedSequence;
  transfer.entries = std::move(*entries);
  sendChunk(progress.keyspace, keyspace, transfer, to, now);
}

void Consensus::sendChunk(string const& name, KeyspaceState& keyspace, OutgoingTransfer& transfer, NodeId to,
                          TimePoint now) {
  TransferChunk chunk;
  chunk.transfer = transfer.id;
  chunk.index = transfer.chunk;
  chunk.writes.previous = transfer.previous;
  chunk.writes.last = transfer.last;
  chunk.writes.full = transfer.full;
  chunk.committed = keyspace.committedSequence;
  auto next = transfer.entries.lower_bound(transfer.firstKey);
  for (std::size_t bytes = 0; next != transfer.entries.end() && bytes < chunkBytes; ++next) {
    chunk.writes.entries.insert(*next);
    bytes += byteSize(next->first, next->second);
  }
  chunk.isLast = next == transfer.entries.end();
  transfer.sentLast = chunk.isLast;
  if (!chunk.isLast) transfer.nextFirstKey = next->first;
  transfer.sentAt = now;
  send(to, name, keyspace.epoch, std::move(chunk));
}

/// Collects the chunks of a transfer in memory. Once the last one arrives, all are stored as one write range.
void Consensus::handle(Message const& message, TransferChunk const& chunk, KeyspaceState& keyspace, TimePoint) {
  bool accepted = false;
  if (message.epoch >= keyspace.votedEpoch) {
    IncomingTransfer& incoming = keyspace.incoming;
    bool const known = incoming.id == chunk.transfer && incoming.epoch == message.epoch;
    if (!known && chunk.index == 0) incoming = IncomingTransfer{chunk.transfer, 0, message.epoch, {}};
    bool const isNext =
        incoming.id == chunk.transfer && incoming.epoch == message.epoch && incoming.nextChunk == chunk.index;
    accepted = isNext || (known && chunk.index < incoming.nextChunk);
    if (isNext) {
      ++incoming.nextChunk;
      incoming.entries.insert(chunk.writes.entries.begin(), chunk.writes.entries.end());
    }
    if (isNext && chunk.isLast) {
      WriteRange whole = chunk.writes;
      whole.entries = std::exchange(incoming.entries, {});
      storeWrites(message, whole, chunk.committed, keyspace);
    }
  }
  reply(message, TransferChunkReply{accepted, keyspace.votedEpoch, chunk.transfer, chunk.index, chunk.writes.last});
}

/// Sends the next chunk after the previous one was accepted. A rejected chunk ends the transfer; if the member still
/// lags, a new one starts.
void Consensus::handle(Message const& message, TransferChunkReply const& answer, KeyspaceState& keyspace,
                       TimePoint now) {
  if (message.epoch != keyspace.epoch || keyspace.phase != OwnershipPhase::owner) return;
  if (!answer.accepted) onRefusal(answer.votedEpoch, keyspace, now);
  auto const found = keyspace.transfers.find(message.from);
  if (found == keyspace.transfers.end()) return;
  OutgoingTransfer& transfer = found->second;
  if (transfer.id != answer.transfer || transfer.chunk != answer.index) return;
  if (!answer.accepted || transfer.sentLast) {
    keyspace.transfers.erase(found);
    keyspace.lags.erase(message.from);
    return;
  }
  ++transfer.chunk;
  transfer.firstKey = transfer.nextFirstKey;
  sendChunk(message.keyspace, keyspace, transfer, message.from, now);
}

}  // namespace tealshelf
