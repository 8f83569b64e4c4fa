// How keyspaces are created, kept, and dropped when nothing needs them any more.
//
// A keyspace is idle if it has no entries here, nothing keeps it and it wasn't used for a while. Idle keyspaces have no
// owner and aren't in heartbeats. A node drops them on its own, without agreement: it remembers one epoch that is above
// all the votes it gave for them, and a keyspace that is created later begins with a vote for that epoch. So it accepts
// nothing that the dropped state would have refused. Keyspaces with entries, or with tombstones of deleted ones, stay.
#include "consensus/consensus.hpp"
#include "consensus/keyspace_names.hpp"

namespace tealshelf {

KeyspaceState& Consensus::stateOf(string const& name) {
  auto const [state, isNew] = keyspaces_.try_emplace(name);
  if (isNew) copyVote(state->second, droppedVote_);
  return state->second;
}

void Consensus::addKeyspace(string const& keyspace) {
  stateOf(keyspace).isKept = true;
}

void Consensus::keepKeyspaces(string const& prefix, std::set<string> const& names) {
  for (auto& [name, keyspace] : keyspaces_)
    if (name.starts_with(prefix)) keyspace.isKept = false;
  for (string const& name : names) addKeyspace(name);
}

void Consensus::useKeyspace(string const& keyspace, TimePoint now) {
  stateOf(keyspace).lastUsedAt = now;
}

bool Consensus::isIdle(KeyspaceState const& keyspace, TimePoint now) const {
  bool const wasUsed = keyspace.lastUsedAt != TimePoint();
  bool const inUse = wasUsed && now - keyspace.lastUsedAt <= timeouts_.keepUnused;
  return !keyspace.isKept && !inUse && keyspace.replica.entries().empty();
}

bool Consensus::isActive(string const& keyspace, TimePoint now) const {
  auto const found = keyspaces_.find(keyspace);
  return found != keyspaces_.end() && !isIdle(found->second, now);
}

void Consensus::setDroppedVote(Epoch vote) {
  droppedVote_ = vote;
  record(LogRecord::vote(droppedKeyspaces, droppedVote_));
}

/// A process that has just started doesn't know yet which keyspaces others need: it drops none.
void Consensus::dropIdleKeyspaces(TimePoint now) {
  if (firstTickAt_ == TimePoint()) firstTickAt_ = now;
  bool const mayDrop = now - firstTickAt_ > timeouts_.keepUnused;
  std::uint64_t highestVote = 0;
  for (auto next = keyspaces_.begin(); next != keyspaces_.end();) {
    KeyspaceState& keyspace = next->second;
    bool const idle = isIdle(keyspace, now);
    if (idle && keyspace.phase != OwnershipPhase::notOwner) stepDown(keyspace);
    if (!idle || !mayDrop) {
      ++next;
      continue;
    }
    highestVote = std::max({highestVote, keyspace.votedEpoch.number, keyspace.epoch.number});
    next = keyspaces_.erase(next);
  }
  // The highest id of an owner: no owner of this number gets another vote.
  Epoch const vote{highestVote, NodeId(std::numeric_limits<std::uint64_t>::max())};
  if (highestVote && vote > droppedVote_) setDroppedVote(vote);
}

}  // namespace tealshelf
