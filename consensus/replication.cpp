// Writes and linearizable reads by the owner of a keyspace, and how the members store its writes.
#include "base/invariant.hpp"
#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
/// Writes that the owner keeps for members that haven't acknowledged them; a member further behind gets a transfer.
constexpr std::size_t maxKeptWrites = 64;
}  // namespace

OperationId Consensus::propose(string const& name, vector<KeyChange> changes, TimePoint now,
                               std::optional<Epoch> expectedEpoch) {
  OperationId const operation = ++lastOperation_;
  auto const found = keyspaces_.find(name);
  bool const epochChanged = expectedEpoch && *expectedEpoch != epochOf(name);
  if (found == keyspaces_.end() || found->second.phase != OwnershipPhase::owner || !mayVote() || epochChanged) {
    finish(operation, OperationResult::notOwner);
    return operation;
  }
  KeyspaceState& keyspace = found->second;
  keyspace.lastUsedAt = now;
  PendingWrite write;
  write.operation = operation;
  write.first = keyspace.nextSequence;
  for (KeyChange& change : changes)
    write.entries[change.key] = Entry{keyspace.epoch, keyspace.nextSequence++, std::move(change.value), change.deleted};
  write.last = keyspace.nextSequence - 1;
  write.startedAt = now;
  keyspace.writes.push_back(std::move(write));
  sendWrite(name, keyspace, keyspace.writes.back(), now);
  return operation;
}

OperationId Consensus::confirmOwnership(string const& name, TimePoint now) {
  OperationId const operation = ++lastOperation_;
  auto const found = keyspaces_.find(name);
  if (found == keyspaces_.end() || found->second.phase != OwnershipPhase::owner || !mayVote()) {
    finish(operation, OperationResult::notOwner);
    return operation;
  }
  KeyspaceState& keyspace = found->second;
  keyspace.lastUsedAt = now;
  PendingRead read;
  read.round = ++lastRound_;
  read.operation = operation;
  read.startedAt = now;
  keyspace.reads.push_back(std::move(read));
  sendOwnershipCheck(name, keyspace, keyspace.reads.back(), now);
  return operation;
}

void Consensus::finish(OperationId operation, OperationResult result) {
  if (operation) output_.outcomes.push_back(OperationOutcome{operation, result});
}

void Consensus::sendWrite(string const& name, KeyspaceState& keyspace, PendingWrite& write, TimePoint now) {
  write.sentAt = now;
  for (Member const& member : membership_.members) {
    if (write.acknowledgedBy.contains(member.id)) continue;
    WriteRange range{write.first - 1, write.last, write.full, write.entries};
    send(member.id, name, keyspace.epoch, AppendRequest{std::move(range), keyspace.committedSequence});
  }
}

void Consensus::sendOwnershipCheck(string const& name, KeyspaceState& keyspace, PendingRead& read, TimePoint now) {
  read.sentAt = now;
  for (Member const& member : membership_.members)
    if (!read.confirmedBy.contains(member.id)) send(member.id, name, keyspace.epoch, OwnershipCheck{read.round});
}

void Consensus::resendPending(string const& name, KeyspaceState& keyspace, TimePoint now) {
  for (PendingWrite& write : keyspace.writes)
    if (now - write.sentAt > timeouts_.resend) sendWrite(name, keyspace, write, now);
  for (PendingRead& read : keyspace.reads)
    if (now - read.sentAt > timeouts_.resend) sendOwnershipCheck(name, keyspace, read, now);
}

/// Ends the operations that have waited too long for a majority. The owner steps down if one of them is a write: it
/// can't tell whether that write will take effect.
void Consensus::expireOperations(KeyspaceState& keyspace, TimePoint now) {
  for (PendingWrite const& write : keyspace.writes) {
    bool const pending = !write.committed && keyspace.phase == OwnershipPhase::owner;
    if (pending && now - write.startedAt > timeouts_.operation) return stepDown(keyspace);
  }
  while (!keyspace.reads.empty() && now - keyspace.reads.front().startedAt > timeouts_.operation) {
    finish(keyspace.reads.front().operation, OperationResult::unknown);
    keyspace.reads.pop_front();
  }
}

/// Moves a committed write to the recent writes once all live members have stored it, or once maxKeptWrites are kept.
void Consensus::retireCommittedWrites(KeyspaceState& keyspace, TimePoint now) {
  while (!keyspace.writes.empty() && keyspace.writes.front().committed) {
    PendingWrite& write = keyspace.writes.front();
    bool const storedByAll = std::all_of(
        membership_.members.begin(), membership_.members.end(),
        [&](Member const& member) { return write.acknowledgedBy.contains(member.id) || !isAlive(member.id, now); });
    if (!storedByAll && keyspace.writes.size() < maxKeptWrites) return;
    keepRecentWrite(keyspace, std::move(write));
    keyspace.writes.pop_front();
  }
}

/// Stores writes that the owner sent under the message's epoch.
void Consensus::storeWrites(Message const& message, WriteRange const& writes, std::uint64_t committed,
                            KeyspaceState& keyspace) {
  checkInvariant(Invariant::epochNeverFalls, message.epoch >= keyspace.votedEpoch, [&] {
    return message.keyspace + ": a write at epoch " + std::to_string(message.epoch.number) +
           " was accepted after a vote for epoch " + std::to_string(keyspace.votedEpoch.number);
  });
  bool const byOwner = message.epoch.owner == message.from &&
                       std::all_of(writes.entries.begin(), writes.entries.end(),
                                   [&message](auto const& item) { return item.second.epoch == message.epoch; });
  checkInvariant(Invariant::epochHasOneOwner, byOwner, [&] {
    return message.keyspace + ": node " + hex(message.from.value) + " sent writes of epoch " +
           std::to_string(message.epoch.number) + ", which it doesn't own";
  });
  if (keyspace.epoch < message.epoch && keyspace.phase != OwnershipPhase::notOwner) stepDown(keyspace);
  keyspace.votedEpoch = message.epoch;
  record(LogRecord::append(message.keyspace, message.epoch, writes));
  keyspace.replica.store(message.epoch, writes);
  keyspace.replica.advanceCommitted(Position{message.epoch, committed});
}

void Consensus::handle(Message const& message, AppendRequest const& request, KeyspaceState& keyspace, TimePoint) {
  bool const accepted = message.epoch >= keyspace.votedEpoch;
  if (accepted) storeWrites(message, request.writes, request.committed, keyspace);
  reply(message, AppendReply{accepted, keyspace.votedEpoch, request.writes.last});
}

void Consensus::handle(Message const& message, AppendReply const& answer, KeyspaceState& keyspace, TimePoint now) {
  bool const hasWrites = keyspace.phase == OwnershipPhase::rewriting || keyspace.phase == OwnershipPhase::owner;
  if (message.epoch != keyspace.epoch || !hasWrites) return;
  if (!answer.accepted) return onRefusal(answer.votedEpoch, keyspace, now);
  for (PendingWrite& write : keyspace.writes)
    if (write.last == answer.last) write.acknowledgedBy.insert(message.from);
  advanceCommitted(keyspace);
}

/// Commits writes in order, up to the first one that a majority hasn't stored yet.
void Consensus::advanceCommitted(KeyspaceState& keyspace) {
  for (PendingWrite& write : keyspace.writes) {
    if (write.committed) continue;
    if (write.acknowledgedBy.size() < membership_.quorum()) break;
    write.committed = true;
    keyspace.committedSequence = write.last;
    keyspace.replica.applyCommitted(Position{keyspace.epoch, write.last}, write.full, write.entries);
    if (write.full) keyspace.phase = OwnershipPhase::owner;
    finish(write.operation, OperationResult::committed);
  }
  keyspace.replica.advanceCommitted(Position{keyspace.epoch, keyspace.committedSequence});
}

void Consensus::handle(Message const& message, OwnershipCheck const& check, KeyspaceState& keyspace, TimePoint) {
  bool const confirmed = message.epoch >= keyspace.votedEpoch;
  reply(message, OwnershipCheckReply{confirmed, keyspace.votedEpoch, check.round});
}

void Consensus::handle(Message const& message, OwnershipCheckReply const& answer, KeyspaceState& keyspace,
                       TimePoint now) {
  if (message.epoch != keyspace.epoch || keyspace.phase != OwnershipPhase::owner) return;
  if (!answer.confirmed) return onRefusal(answer.votedEpoch, keyspace, now);
  auto const read = std::find_if(keyspace.reads.begin(), keyspace.reads.end(),
                                 [&answer](PendingRead const& pending) { return pending.round == answer.round; });
  if (read == keyspace.reads.end()) return;
  read->confirmedBy.insert(message.from);
  if (read->confirmedBy.size() < membership_.quorum()) return;
  finish(read->operation, OperationResult::committed);
  keyspace.reads.erase(read);
}

}  // namespace tealshelf
