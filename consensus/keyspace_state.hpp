#pragma once
#include "consensus/keyspace_replica.hpp"

/// What Consensus keeps of one keyspace; used by Consensus only.
namespace tealshelf {

/// Number of a proposal or of a confirmation within one process; 0 for writes that nobody waits for.
using OperationId = std::uint64_t;

/// How far a node has come on its way to own a keyspace.
enum class OwnershipPhase {
  notOwner,
  collectingVotes,  ///< a majority must vote for its epoch
  rewriting,        ///< a majority must store all entries under its epoch
  owner
};

/// A write that the owner sent to the members and still keeps.
struct PendingWrite {
  OperationId operation = 0;
  std::uint64_t first = 0, last = 0;
  bool full = false;
  Entries entries;
  std::set<NodeId> acknowledgedBy;
  TimePoint startedAt, sentAt;
  bool committed = false;
};

/// A round of ownership checks on which reads wait.
struct PendingRead {
  std::uint64_t round = 0;
  OperationId operation = 0;
  std::set<NodeId> confirmedBy;
  TimePoint startedAt, sentAt;
};

/// Committed state on its way to a member that lags, one chunk at a time: the whole keyspace, or what follows a
/// position.
struct OutgoingTransfer {
  std::uint64_t id = 0;
  std::uint64_t previous = 0, last = 0;
  bool full = false;
  Entries entries;
  std::uint64_t chunk = 0;
  string firstKey;      ///< of the chunk that was sent
  string nextFirstKey;  ///< of the chunk after it
  bool sentLast = false;
  TimePoint sentAt;
};

/// The chunks of a transfer that arrived so far; in memory only, so that a restart begins anew.
struct IncomingTransfer {
  std::uint64_t id = 0;
  std::uint64_t nextChunk = 0;
  Epoch epoch;
  Entries entries;
};

/// A member that hasn't reached what was committed when it was last looked at.
struct MemberLag {
  TimePoint since;
  std::uint64_t target = 0;
};

struct KeyspaceState {
  KeyspaceReplica replica;
  Epoch votedEpoch;        ///< the highest epoch that this node voted for; durable
  Epoch highestSeenEpoch;  ///< in any message or heartbeat

  OwnershipPhase phase = OwnershipPhase::notOwner;
  Epoch epoch;  ///< of this node's own, present or last, ownership
  TimePoint takeoverStartedAt, voteRequestsSentAt;
  TimePoint noTakeoverBefore;  ///< no takeover begins here before, as another node's is under way
  std::set<NodeId> votes;
  Entries votedEntries;  ///< the newest entry of each key that the voters brought

  std::uint64_t nextSequence = 1;
  std::uint64_t committedSequence = 0;
  std::deque<PendingWrite> writes;
  std::deque<PendingRead> reads;
  std::deque<PendingWrite> recentWrites;  ///< committed writes that all live members have, for those who come back
  std::size_t recentBytes = 0;
  std::map<NodeId, MemberLag> lags;
  std::map<NodeId, OutgoingTransfer> transfers;
  IncomingTransfer incoming;
};

}  // namespace tealshelf
