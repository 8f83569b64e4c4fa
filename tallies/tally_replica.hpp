#pragma once
#include "tallies/tally_peer.hpp"
#include "tallies/tally_table.hpp"

namespace tealshelf {

/// Time limits of a replica. Those in ticks of its driver don't count time in which the process was suspended.
struct TallyTiming {
  int ticksUntilUnreachable;  ///< a peer without an answer for this long doesn't delay additions
  int ticksUntilIsolated;     ///< without a majority, or any answer, for this long a replica acts alone
  Ms retryAfter;              ///< delay after a push without an answer
  Ms relayAfter;              ///< a peer that lacks another origin's additions for this long gets them from this node
  Ms settleAfter;             ///< minimum age at which additions are settled
  Ms retention;               ///< how long a repeat of a settled addition is detected
};

/// The copies and zones that an addition must have reached before it is acknowledged.
struct TallyDurability {
  std::size_t copies = 1, zones = 1;
};

/// A push to be sent to a peer.
struct OutgoingPush {
  Member to;
  TallyPush push;
};

/// The tallies of one node, as a state machine that does no I/O.
///
/// Inputs are additions of callers, pushes, answers and ticks; takeRecords() and takePushes() return what is to be
/// written and sent. Nothing is sent, and nothing counts as a copy, before it is synced. Every member accepts
/// additions, whichever others it can reach; members send each other what they lack, and a node that was removed sends
/// them what it alone has (docs/design-tallies.md).
class TallyReplica {
 public:
  TallyReplica(NodeId self, TallyTiming timing, TallyDurability durability);

  // Persistence.

  /// Replays a record from the disk; records come in the order in which they were written.
  void replay(string const& record);
  /// Begins a new log of this node's additions, if the disk has none or lost synced records.
  void beginOrigin(OriginId origin);
  bool hasOrigin() const { return origin_ != OriginId(); }
  /// Records that restore the present state in an empty replica.
  vector<string> snapshot() const;
  /// Returns the records to be written. Once they are synced, call noteSynced() with the value that known() has now.
  vector<string> takeRecords() { return std::exchange(records_, {}); }
  VersionVector known() const { return table_.known(); }
  void noteSynced(VersionVector const& synced);
  /// False before the first call of noteSynced(): until then it isn't known what is on the disk.
  bool hasSynced() const { return hasSynced_; }

  // Calls.

  /// Adds to a tally. The caller may be answered once isDurable() is true for the position.
  TallyTable::AddOutcome add(TallyAdd addition);
  /// True once an addition is synced on enough disks, or on those of all reachable members.
  bool isDurable(AddPosition position) const;
  /// True if enough copies exist, whichever members are reachable.
  bool hasAllCopies(AddPosition position) const { return copiesOf(position).areEnough; }
  /// Sets the origins with additions that callers wait for; these are relayed without delay.
  void setAwaited(std::set<OriginId> origins) { awaited_ = std::move(origins); }
  /// True if this node may answer callers.
  bool isServing() const { return isMember_ && caughtUp_; }
  /// What this node has of some origins: a sequence number for each of them, 0 if it has none.
  VersionVector knownOf(VersionVector const& origins) const;
  /// Sequence numbers such that a table with them includes an addition. A position that is no longer known was settled.
  VersionVector including(std::optional<AddPosition> const& position) const;
  TallyTable const& table() const { return table_; }

  // Peers.

  void setMembers(vector<Member> const& members);
  /// The digest of the synced additions, for heartbeats; 0 before the first sync, as empty digests would be equal.
  std::uint64_t digest() const { return digest_; }
  void noteHeartbeat(NodeId from, std::uint64_t digest, TimePoint now);
  vector<OutgoingPush> takePushes(TimePoint now);
  /// Applies a push. Throws notMember if it is for another node.
  void receive(TallyPush const& push);
  /// The answer to a push; call it once the records of the push are synced.
  TallyPushReply replyTo(TallyPush const& push);
  void receive(TallyPushReply const& reply, TimePoint now);
  void noteFailure(NodeId peer, TimePoint now);
  /// Called periodically while the process runs.
  void tick(std::int64_t wallClockMs);
  bool isReachable(TallyPeer const& peer) const { return peer.ticksWithoutReply < timing_.ticksUntilUnreachable; }
  std::map<NodeId, TallyPeer> const& peers() const { return peers_; }

 private:
  friend struct TallyReplicaTestAccess;  ///< lets tests inject faults

  /// A whole state that is being received from a peer in chunks.
  struct IncomingState {
    NodeId from;
    std::uint64_t transfer = 0;
    string bytes;
    int idleTicks = 0;
  };

  /// The synced copies of an addition.
  struct Copies {
    std::size_t count = 0;  ///< 0 unless this node has synced it
    bool areEnough = false;
    bool lackedByReachable = false;  ///< a reachable peer doesn't have it yet
  };
  Copies copiesOf(AddPosition position) const;
  void receiveChunk(NodeId from, TallyStateChunk const& chunk);
  void installState(string const& bytes);
  bool lacksSettled(VersionVector const& settled) const;
  void noteReport(TallyPeer& peer, VersionVector const& synced, TimePoint now);
  bool isRelayDue(TallyPeer const& peer, OriginId origin, TimePoint now) const;
  std::optional<TallyPush> nextPush(TallyPeer& peer, TimePoint now) const;
  TallyStateChunk nextChunk(TallyPeer const& peer) const;
  void updateCatchUp();
  void settle(std::int64_t wallClockMs);
  /// No peer has answered for `ticksUntilIsolated`.
  bool isWithoutContact() const { return ticksSinceAnswer_ >= timing_.ticksUntilIsolated; }

  NodeId self_;
  TallyTiming timing_;
  TallyDurability durability_;
  TallyTable table_;
  OriginId origin_;
  VersionVector synced_;
  vector<string> records_;
  std::uint64_t digest_ = 0;  ///< of synced_
  bool hasSynced_ = false;
  bool isMember_ = false, caughtUp_ = false, heardMajority_ = false;
  string zone_;
  std::size_t memberCount_ = 0;
  int ticks_ = 0, ticksAsMember_ = 0, ticksSinceAnswer_ = 0, ticksSinceSettled_ = 0;
  std::map<NodeId, TallyPeer> peers_;  ///< the other members
  std::set<OriginId> awaited_;
  std::optional<IncomingState> incoming_;
};

}  // namespace tealshelf
