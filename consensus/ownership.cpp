// Takeover of a keyspace by votes of a majority, and the end of an ownership.
#include "base/invariant.hpp"
#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
string textOf(Position const& position) {
  return std::to_string(position.epoch.number) + "/" + hex(position.epoch.owner.value) + " write " +
         std::to_string(position.sequence);
}

/// The newest entry among the votes of a majority can't be older than the position this node knows to be committed.
void checkVotesIncludeCommitted(string const& name, KeyspaceState const& keyspace) {
  if (keyspace.replica.committedValues().empty()) return;
  Position newest;
  for (auto const& [key, entry] : keyspace.votedEntries) newest = std::max(newest, entry.position());
  Position const committed = keyspace.replica.committedAt();
  checkInvariant(Invariant::takeoverHoldsCommitted, newest >= committed, [&] {
    return name + ": the newest entry of the votes is at epoch " + textOf(newest) + ", but epoch " + textOf(committed) +
           " is committed";
  });
}

/// Resend timeouts after which a takeover is abandoned if another node should own the keyspace or has a higher epoch.
constexpr int maxTakeoverResends = 20;
/// Resend timeouts for which another node's takeover is left undisturbed, as it takes a few round trips and syncs. The
/// delay is extended by a part that depends on the node, in steps, to at most twice this time.
constexpr int takeoverDelayResends = 1;
constexpr std::uint64_t takeoverDelaySteps = 16;
}  // namespace

void Consensus::updateOwnership(string const& name, KeyspaceState& keyspace, TimePoint now) {
  if (keyspace.phase == OwnershipPhase::owner) return;
  Member const* const preferred = preferredOwner(name, now);
  bool const shouldOwn = preferred && preferred->id == self_.id && inContactWithMajority(now);
  if (keyspace.phase == OwnershipPhase::notOwner) {
    if (shouldOwn && now >= keyspace.noTakeoverBefore) startTakeover(name, keyspace, now);
    return;
  }
  bool const overdue = now - keyspace.takeoverStartedAt > maxTakeoverResends * timeouts_.resend;
  bool const superseded = !shouldOwn || keyspace.highestSeenEpoch > keyspace.epoch;
  if (overdue && superseded)
    stepDown(keyspace);
  else if (keyspace.phase == OwnershipPhase::collectingVotes && now - keyspace.voteRequestsSentAt > timeouts_.resend)
    sendVoteRequests(name, keyspace, now);
}

void Consensus::startTakeover(string const& name, KeyspaceState& keyspace, TimePoint now) {
  stepDown(keyspace);
  keyspace.phase = OwnershipPhase::collectingVotes;
  keyspace.takeoverStartedAt = now;
  std::uint64_t const highest = std::max(keyspace.highestSeenEpoch.number, keyspace.votedEpoch.number);
  keyspace.epoch = Epoch{highest + 1, self_.id};
  keyspace.highestSeenEpoch = keyspace.epoch;
  keyspace.votes.clear();
  keyspace.votedEntries.clear();
  sendVoteRequests(name, keyspace, now);
}

void Consensus::sendVoteRequests(string const& name, KeyspaceState& keyspace, TimePoint now) {
  keyspace.voteRequestsSentAt = now;
  for (Member const& member : membership_.members)
    if (!keyspace.votes.contains(member.id)) send(member.id, name, keyspace.epoch, VoteRequest{});
}

void Consensus::handle(Message const& message, VoteRequest const&, KeyspaceState& keyspace, TimePoint now) {
  VoteReply answer;
  bool const repeated = message.epoch == keyspace.votedEpoch;
  // The same number with another owner is refused: this node votes for only one owner of each number.
  if (repeated || message.epoch.number > keyspace.votedEpoch.number) {
    if (message.epoch > keyspace.votedEpoch) {
      keyspace.votedEpoch = message.epoch;
      record(LogRecord::vote(message.keyspace, message.epoch));
      if (keyspace.epoch < message.epoch) stepDown(keyspace);
      if (message.from != self_.id) deferTakeover(keyspace, message.epoch, now);
    }
    output_.needsSync = true;
    answer.granted = true;
    answer.entries = keyspace.replica.entries();
  }
  answer.votedEpoch = keyspace.votedEpoch;
  reply(message, std::move(answer));
}

void Consensus::handle(Message const& message, VoteReply const& answer, KeyspaceState& keyspace, TimePoint now) {
  if (keyspace.phase != OwnershipPhase::collectingVotes || message.epoch != keyspace.epoch) return;
  if (!answer.granted) return onRefusal(answer.votedEpoch, keyspace, now);
  keyspace.votes.insert(message.from);
  mergeNewer(keyspace.votedEntries, answer.entries);
  // The votes must include this node's own. Once that is synced, the node can't choose the same epoch again after a
  // restart; otherwise two of its processes could use one epoch, and their writes would be indistinguishable.
  bool const ownVoteIsSynced = keyspace.votes.contains(self_.id);
  if (!ownVoteIsSynced || keyspace.votes.size() < membership_.quorum()) return;
  rewriteUnderOwnEpoch(message.keyspace, keyspace, now);
}

/// Rewrites the newest entry of each key under the new epoch. Once a majority has stored this, the node owns the
/// keyspace.
void Consensus::rewriteUnderOwnEpoch(string const& name, KeyspaceState& keyspace, TimePoint now) {
  checkVotesIncludeCommitted(name, keyspace);
  keyspace.phase = OwnershipPhase::rewriting;
  keyspace.nextSequence = 1;
  keyspace.committedSequence = 0;
  PendingWrite write;
  write.full = true;
  write.first = 1;
  for (auto& [key, entry] : keyspace.votedEntries)
    write.entries[key] = Entry{keyspace.epoch, keyspace.nextSequence++, std::move(entry.value), entry.deleted};
  // The rewrite of an empty keyspace uses a sequence number too, so that it has a position.
  if (keyspace.nextSequence == 1) keyspace.nextSequence = 2;
  write.last = keyspace.nextSequence - 1;
  keyspace.votedEntries.clear();
  keyspace.writes.push_back(std::move(write));
  sendWrite(name, keyspace, keyspace.writes.back(), now);
}

void Consensus::stepDown(KeyspaceState& keyspace) {
  for (PendingWrite const& write : keyspace.writes)
    if (!write.committed) finish(write.operation, OperationResult::unknown);
  for (PendingRead const& read : keyspace.reads) finish(read.operation, OperationResult::unknown);
  keyspace.writes.clear();
  keyspace.reads.clear();
  keyspace.lags.clear();
  keyspace.transfers.clear();
  keyspace.recentWrites.clear();
  keyspace.recentBytes = 0;
  keyspace.phase = OwnershipPhase::notOwner;
}

void Consensus::stepDownEverywhere() {
  for (auto& [name, keyspace] : keyspaces_) stepDown(keyspace);
}

void Consensus::relinquish(string const& keyspace) {
  auto const found = keyspaces_.find(keyspace);
  if (found != keyspaces_.end()) stepDown(found->second);
}

bool Consensus::setIneligibleAsOwner(bool ineligible) {
  if (ineligibleAsOwner_ == ineligible) return false;
  ineligibleAsOwner_ = ineligible;
  if (ineligibleAsOwner_) stepDownEverywhere();
  return true;
}

/// Handles the refusal of a request by a member that voted for another epoch.
void Consensus::onRefusal(Epoch votedEpoch, KeyspaceState& keyspace, TimePoint now) {
  // A vote for another owner with the same number supersedes this epoch as a higher one does.
  bool const superseded = votedEpoch != keyspace.epoch && votedEpoch.number >= keyspace.epoch.number;
  if (!superseded || keyspace.phase == OwnershipPhase::notOwner) return;
  stepDown(keyspace);
  deferTakeover(keyspace, votedEpoch, now);
}

/// Nodes that start at the same time each consider themselves the preferred owner until they know all others. Without a
/// delay that differs from node to node they would supersede each other's takeovers repeatedly.
void Consensus::deferTakeover(KeyspaceState& keyspace, Epoch otherEpoch, TimePoint now) const {
  std::uint64_t const step = hash64(hex(self_.id.value), otherEpoch.number) % takeoverDelaySteps;
  Ms const delay = takeoverDelayResends * timeouts_.resend;
  keyspace.noTakeoverBefore = now + delay + delay * static_cast<int>(step) / static_cast<int>(takeoverDelaySteps);
}

}  // namespace tealshelf
