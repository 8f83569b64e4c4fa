#pragma once
#include "consensus/keyspace_replica.hpp"

/// The state that Consensus keeps for each keyspace; used by Consensus only.
namespace tealshelf {

/// Number of a proposal or of an ownership confirmation within one process; 0 for writes without a caller.
using OperationId = std::uint64_t;

/// Progress of a node towards the ownership of a keyspace.
enum class OwnershipPhase {
  notOwner,
  collectingVotes,  ///< waits for a majority to vote for its epoch
  rewriting,        ///< waits for a majority to store all entries under its epoch
  owner
};

/// A write that the owner has sent to the members and may have to send again.
struct PendingWrite {
  OperationId operation = 0;
  std::uint64_t first = 0, last = 0;
  bool full = false;
  Entries entries;
  std::set<NodeId> acknowledgedBy;
  TimePoint startedAt, sentAt;
  bool committed = false;
};

/// A read that waits for a majority to answer its round of ownership checks.
struct PendingRead {
  std::uint64_t round = 0;
  OperationId operation = 0;
  std::set<NodeId> confirmedBy;
  TimePoint startedAt, sentAt;
};

/// Transfer of committed state to a lagging member, one chunk at a time: the whole keyspace, or the changes after a
/// position.
struct OutgoingTransfer {
  std::uint64_t id = 0;
  std::uint64_t previous = 0, last = 0;
  bool full = false;
  Entries entries;
  std::uint64_t chunk = 0;
  string firstKey;      ///< of the last chunk sent
  string nextFirstKey;  ///< of the chunk after that one
  bool sentLast = false;
  TimePoint sentAt;
};

/// The chunks of a transfer received so far; in memory only, so a restart loses them.
struct IncomingTransfer {
  std::uint64_t id = 0;
  std::uint64_t nextChunk = 0;
  Epoch epoch;
  Entries entries;
};

/// Tracks whether a member keeps up with the committed writes.
struct MemberLag {
  TimePoint since;           ///< when the target was set
  std::uint64_t target = 0;  ///< sequence number that was committed then
};

struct KeyspaceState {
  bool isKept = false;   ///< has an owner even without entries
  TimePoint lastUsedAt;  ///< of the last operation, message or report of entries; TimePoint() if there was none

  KeyspaceReplica replica;
  Epoch votedEpoch;        ///< the highest epoch that this node voted for; durable
  Epoch highestSeenEpoch;  ///< in any message or heartbeat

  OwnershipPhase phase = OwnershipPhase::notOwner;
  Epoch epoch;  ///< of this node's current or last ownership, or of its takeover
  TimePoint takeoverStartedAt, voteRequestsSentAt;
  TimePoint noTakeoverBefore;  ///< leaves another node's takeover the time to complete
  std::set<NodeId> votes;
  Entries votedEntries;  ///< the newest entry of each key among the votes

  std::uint64_t nextSequence = 1;
  std::uint64_t committedSequence = 0;
  std::deque<PendingWrite> writes;
  std::deque<PendingRead> reads;
  std::deque<PendingWrite> recentWrites;  ///< committed writes kept for the catch-up of returning members
  std::size_t recentBytes = 0;
  std::map<NodeId, MemberLag> lags;
  std::map<NodeId, OutgoingTransfer> transfers;
  IncomingTransfer incoming;
};

}  // namespace tealshelf
