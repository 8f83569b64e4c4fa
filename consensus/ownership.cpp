// How a node becomes the owner of a keyspace, and how it stops being one.
#include "base/invariant.hpp"
#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
string textOf(Position const& position) {
  return std::to_string(position.epoch.number) + "/" + hex(position.epoch.owner.value) + " write " +
         std::to_string(position.sequence);
}

/// The newest entry that a majority of the voters brought can't be older than what this node knows as committed.
void checkVotesIncludeCommitted(string const& name, KeyspaceState const& keyspace) {
  if (keyspace.replica.committedValues().empty()) return;
  Position newest;
  for (auto const& [key, entry] : keyspace.votedEntries) newest = std::max(newest, entry.position());
  Position const committed = keyspace.replica.committedAt();
  checkInvariant(Invariant::takeoverHoldsCommitted, newest >= committed,
                 [&] { return name + ": the votes end at " + textOf(newest) + ", committed is " + textOf(committed); });
}

/// After so many resends a takeover is given up if another node should own the keyspace, or has a higher epoch.
constexpr int maxTakeoverResends = 20;
/// A takeover under way elsewhere is left alone for one to two resends, as it takes a few round trips and syncs.
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
  bool const overtaken = !shouldOwn || keyspace.highestSeenEpoch > keyspace.epoch;
  if (overdue && overtaken)
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
  // An equal number of another owner is refused: a vote is for one owner of each number.
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
  // This node's own vote is among them: once it is synced, no later life of this node can take the same epoch again.
  // Without it the epoch could be used by two lives, whose writes nobody could tell apart.
  bool const ownVoteIsSynced = keyspace.votes.contains(self_.id);
  if (!ownVoteIsSynced || keyspace.votes.size() < membership_.quorum()) return;
  rewriteUnderOwnEpoch(message.keyspace, keyspace, now);
}

/// Writes the newest entry of each key again, under the new epoch. Once a majority has stored that, this node owns
/// the keyspace.
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
  // An empty keyspace takes one number too, so that its takeover has a position.
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
  stepDown(keyspaces_[keyspace]);
}

bool Consensus::setIneligibleAsOwner(bool ineligible) {
  if (ineligibleAsOwner_ == ineligible) return false;
  ineligibleAsOwner_ = ineligible;
  if (ineligibleAsOwner_) stepDownEverywhere();
  return true;
}

/// A member refused something, as it voted for another epoch.
void Consensus::onRefusal(Epoch votedEpoch, KeyspaceState& keyspace, TimePoint now) {
  // A vote under the same number but for another owner refuses just as a higher one does.
  bool const overtaken = votedEpoch != keyspace.epoch && votedEpoch.number >= keyspace.epoch.number;
  if (!overtaken || keyspace.phase == OwnershipPhase::notOwner) return;
  stepDown(keyspace);
  deferTakeover(keyspace, votedEpoch, now);
}

/// Nodes that start together each take themselves for the preferred owner until they know all others. Without a pause
/// that differs from node to node they would overtake each other again and again.
void Consensus::deferTakeover(KeyspaceState& keyspace, Epoch other, TimePoint now) const {
  std::uint64_t const step = hash64(hex(self_.id.value), other.number) % takeoverDelaySteps;
  Ms const pause = takeoverDelayResends * timeouts_.resend;
  keyspace.noTakeoverBefore = now + pause + pause * static_cast<int>(step) / static_cast<int>(takeoverDelaySteps);
}

}  // namespace tealshelf
