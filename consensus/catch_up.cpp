// Members that lag are brought up to what is committed, in chunks, while writes go on.
#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t chunkBytes = 64u << 10;
constexpr std::size_t maxRecentBytes = 256u << 10;
/// A member lags if it hasn't reached its target after so many resend timeouts.
constexpr int maxLagResends = 2;
/// A chunk is sent again after so many resend timeouts.
constexpr int chunkResends = 4;
}  // namespace

/// A member lags if it doesn't reach what was committed when it was last looked at; under steady writes it is always
/// a little behind.
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

/// Keeps a committed write for members that come back, as far as the bound allows.
void Consensus::remember(KeyspaceState& keyspace, PendingWrite write) {
  if (write.full) return;
  keyspace.recentBytes += byteSize(write.entries);
  keyspace.recentWrites.push_back(std::move(write));
  while (keyspace.recentBytes > maxRecentBytes) {
    keyspace.recentBytes -= byteSize(keyspace.recentWrites.front().entries);
    keyspace.recentWrites.pop_front();
  }
}

/// What was committed after a sequence number; nothing if the writes are no longer known without a gap.
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

/// The committed state with versions and tombstones; nothing while this node's own disk lags itself.
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
    // A later write of the key is under way. Where the committed state has no value, a tombstone says so: without
    // it the key could come back from a disk that missed its deletion.
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

/// Gathers chunks in memory; the last one makes them one stored range, on the disk as a whole.
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

/// Sends the next chunk once the one before was taken. A member that has lost its chunks gets a new transfer.
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
