#pragma once
#include "tallies/tally_peer.hpp"
#include "tallies/tally_table.hpp"

namespace tealshelf {

/// How a replica times what it does, in ticks of its driver where it must not count time in which it didn't run.
struct TallyTiming {
  int ticksUntilUnreachable;  ///< a peer without an answer for so long holds up no addition
  int ticksUntilIsolated;     ///< for so long a process that met nobody, or hears nobody any more, doesn't act alone
  Ms retryAfter;              ///< pause after a push without an answer
  Ms relayAfter;              ///< a peer that lacks another origin's additions for so long gets them from this node
  Ms settleAfter;             ///< age at which additions are settled
  Ms retention;               ///< for how long a repeat of a settled addition is known as one
};

/// What an addition must have reached before it is acknowledged.
struct TallyDurability {
  std::size_t copies = 1, zones = 1;
};

/// A push on its way to a peer.
struct OutgoingPush {
  Member to;
  TallyPush push;
};

/// The tallies of one node, as a state machine without input or output of its own.
///
/// Additions of callers, pushes, answers and ticks go in; takeRecords() and takePushes() give what shall be written and
/// sent. Nothing is sent, and nothing counts as a copy, before it is synced. Any member takes additions whoever it can
/// reach; members tell each other what they lack (docs/design-tallies.md).
class TallyReplica {
 public:
  TallyReplica(NodeId self, TallyTiming timing, TallyDurability durability);

  // Persistence.

  /// Takes back a record from the disk, in the order in which they were written.
  void replay(string const& record);
  /// Begins a new log of own additions: the disk has none, or lost records that it had synced.
  void beginOrigin(OriginId origin);
  bool hasOrigin() const { return origin_ != OriginId(); }
  /// Records that bring an empty replica to the present state.
  vector<string> snapshot() const;
  /// What is to be written. Once it is synced, noteSynced() takes what known() gave at that moment.
  vector<string> takeRecords() { return std::exchange(records_, {}); }
  VersionVector known() const { return table_.known(); }
  void noteSynced(VersionVector const& synced);
  /// False until the first of them: what this disk has isn't known before.
  bool hasSynced() const { return hasSynced_; }

  // Calls.

  /// Takes an addition in. The caller is answered once isDurable() holds for its position.
  TallyTable::AddOutcome add(TallyAdd addition);
  /// True once an addition has reached enough disks, or the disks of all members that can be reached.
  bool isDurable(AddPosition position) const;
  /// True if enough copies exist whoever is reachable.
  bool hasAllCopies(AddPosition position) const { return copiesOf(position).areEnough; }
  /// Additions of other origins that a caller waits for are passed on at once while this is set.
  void setAwaited(std::set<OriginId> origins) { awaited_ = std::move(origins); }
  /// True if this node may answer callers.
  bool isServing() const { return isMember_ && caughtUp_; }
  TallyTable const& table() const { return table_; }

  // Peers.

  void setMembers(vector<Member> const& members);
  /// What this node's digest is, for its heartbeats; 0 as long as it has synced nothing, as all would be alike then.
  std::uint64_t digest() const { return digest_; }
  void noteHeartbeat(NodeId from, std::uint64_t digest, TimePoint now);
  vector<OutgoingPush> takePushes(TimePoint now);
  /// Takes a push in. Throws notMember if it is meant for another node.
  void receive(TallyPush const& push);
  /// The answer to a push, once all is synced.
  TallyPushReply replyTo(TallyPush const& push);
  void receive(TallyPushReply const& reply, TimePoint now);
  void noteFailure(NodeId peer, TimePoint now);
  /// Called in even steps while the process runs.
  void tick(std::int64_t wallClockMs);
  bool isReachable(TallyPeer const& peer) const { return peer.ticksWithoutReply < timing_.ticksUntilUnreachable; }
  std::map<NodeId, TallyPeer> const& peers() const { return peers_; }

 private:
  friend struct TallyReplicaTestAccess;  ///< of the tests: breaks a replica on purpose

  /// A state on its way from a peer.
  struct IncomingState {
    NodeId from;
    std::uint64_t transfer = 0;
    string bytes;
    int idleTicks = 0;
  };

  /// Where an addition is synced.
  struct Copies {
    std::size_t count = 0;  ///< 0 unless this node itself has it
    bool areEnough = false;
    bool lackedByReachable = false;  ///< a peer that answers doesn't have it yet
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
  /// No peer has answered for long.
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
