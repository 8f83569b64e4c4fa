#pragma once
#include "tallies/tally_replica.hpp"
#include "tallies/tally_session.hpp"

#include <random>

namespace tealshelf {

/// Access to a replica's internals, for fault injection.
struct TallyReplicaTestAccess {
  static void replaceTable(TallyReplica& replica, TallyTable const& table) { replica.table_ = table; }
  static void applyShifted(TallyReplica& replica, AddBatch batch) {
    batch.first = replica.table_.lastOf(batch.origin) + 1;
    replica.table_.apply(batch);
  }
};

namespace sim {

/// Description of a violated guarantee; empty if none.
using Violation = string;

/// Simulates nodes that keep tallies, with their disks, links and callers, on a virtual clock.
///
/// A seed determines partitions (a zone isolated, halves, one direction, two zones from each other), members that are
/// removed while isolated and join again, frozen processes, kills, power losses, wiped disks and calls repeated at
/// other nodes. Nodes without a disk forward the calls of their callers to members.
///
/// run() checks what callers read during the run; at the end, with all links healed, it checks that all nodes answer,
/// that all members have the same totals and that no acknowledged addition is missing.
class TallyFleet {
 public:
  enum class Mutation {
    none,
    forgetsIds,            ///< keys of settled additions expire too early
    reusesOrigin,          ///< a wiped disk continues with its old origin
    acknowledgesUnsynced,  ///< a caller is answered before the sync
    acknowledgesAlone,     ///< a caller is answered once the local disk has the addition
    mergesByLargerTotal,   ///< of two tables the one with the larger sum replaces the other
    readsBeforeCatchUp,    ///< a node answers reads as soon as it runs
    appliesTwice,          ///< additions that arrived already are applied again
    takesMissingForLost,   ///< reads no longer wait for an addition once all members lack it
    readsAtAnyMember,      ///< a forwarded read takes the answer of the first member that serves
    requiresLostAdditions  ///< reads wait forever for additions that all disks lost
  };
  static constexpr Ms step{10}, replicaTick{50}, mergeTime{3000}, callLimit{800}, pushLimit{500};
  /// A member may be removed after this time in a partition; an addition that all members lack for lossTimeout is lost.
  static constexpr Ms removalDelay{4000}, lossTimeout{7000};
  static constexpr std::size_t survive = 2, tallies = 4, minMembers = 4;

  TallyFleet(std::uint64_t seed, Mutation mutation, Ms length = Ms(40000));
  Violation run();
  std::size_t acknowledged() const { return acknowledged_.size(); }
  std::size_t wipes() const { return wipes_; }
  std::size_t removals() const { return removals_; }
  std::size_t forwardedReads() const { return forwardedReads_; }
  std::size_t refusedReads() const { return refusedReads_; }
  /// The events of the run, one line each, for debugging a seed.
  vector<string> const& trace() const { return trace_; }
  std::size_t settledKeys() const { return nodes_.front()->replica->table().rememberedCount(); }

 private:
  struct Call {
    string tally, id;
    std::int64_t change = 0;
  };
  struct Acknowledged {
    Call call;
    TimePoint at;
    NodeId by;
    /// Acknowledged in a partition, or while more members were lost than the fleet has to survive: all disks that have
    /// it may be lost.
    bool mayBeLost = false;
  };
  /// The node that forwarded a call, in one of its lives.
  struct Forwarder {
    std::size_t index = 0;
    std::uint64_t life = 0;
  };
  struct WaitingCaller {
    Call call;
    AddPosition position;
    TimePoint end;
    std::optional<Forwarder> forwarder;
  };
  struct PendingSync {
    vector<string> records;
    VersionVector known;
    TimePoint doneAt;
  };
  struct PendingReply {
    std::size_t to = 0;
    TallyPush push;
    std::size_t afterSyncs = 0;
  };
  struct Node {
    std::size_t index = 0;
    string zone;
    Member self;
    OriginId firstOrigin;
    std::unique_ptr<TallyReplica> replica;
    vector<string> disk;
    std::deque<PendingSync> pending;
    std::size_t syncsStarted = 0, syncsDone = 0;
    vector<PendingReply> replies;
    vector<WaitingCaller> callers;
    /// By tally and id: the additions that the node acknowledged to its callers.
    std::map<std::pair<string, string>, Acknowledged> acknowledgedInThisLife;
    TallySession session{lossTimeout};
    vector<Member> installedMembers;
    std::uint64_t life = 0;
    TimePoint restartAt, upSince, frozenUntil;
    /// A newcomer isn't a member (any more) and waits to be admitted.
    bool up = false, isNewcomer = false, isPartitioned = false, hasDisk = true;
    Ms sinceTick{0};
  };
  /// A message or a timeout in transit between two processes.
  struct Packet {
    std::size_t from = 0, to = 0;
    std::uint64_t toLife = 0;
    TimePoint at;
    std::optional<TallyPush> push;
    std::optional<TallyPushReply> reply;
    bool isTimeout = false;  ///< delivered to `to`: its push to `from` had no answer
    std::uint64_t heartbeat = 0;
  };

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  std::int64_t wallMs() const { return 1000000 + elapsed_.count(); }

  static TallyTiming timing(Mutation mutation);
  static Ms lossTimeoutOf(Mutation mutation);
  void assignNewIdentity(Node& node);

  void start(Node& node);
  void flush(Node& node);

  void finishSyncs(Node& node);
  void answer(Node& node, PendingReply const& pending);

  void transmit(Packet packet);
  void sendPushes(Node& node);

  static std::size_t indexOf(string const& name) { return std::stoul(name.substr(1)); }

  void deliver(Packet const& packet);
  void receivePush(Node& node, Packet const& packet);

  void applyMutation(Node& node, Packet const& packet);
  static TallyTotal sumOf(TallyTable const& table);

  void advance();
  void stepNode(Node& node);

  void heartbeat(Node& node);

  /// Adds a wiped or removed node to the members, replacing its previous identity.
  void admit(Node& node);
  /// Tells a node the current members, unless a partition keeps it from learning them.
  void installMembers(Node& node);
  /// Removes an isolated member, as the others do after a while.
  void removeIsolated();
  bool isFrozen(Node const& node) const { return now_ < node.frozenUntil; }
  bool canCall(Node const& from, Node const& to) const;
  /// The members that a node without an own answer asks, those of its zone first.
  vector<Node*> membersToAsk(Node const& node);
  void call(Node& node);
  Call nextCall();
  void addAt(Node& node, Call const& call, std::optional<Forwarder> forwarder);

  void answerCallers(Node& node);
  bool isAnswered(Node const& node, WaitingCaller const& caller) const;
  static bool isOnOwnDisk(Node const& node, AddPosition position);
  void acknowledge(Node& node, WaitingCaller const& caller, std::optional<AddPosition> position);

  /// Wipes the disk of a node right after it acknowledged an addition, and possibly other disks.
  void wipeAfterAcknowledgement();
  /// A node that is called; half of them have no disk or aren't members.
  Node& calledNode();
  /// Reads as a caller of the node does, and checks the answer.
  void read(Node& node);
  /// The node whose table a caller of `node` is answered from; null if the read is refused.
  Node* answeringNode(Node& node);
  Node* forwardRead(Node& node);
  void checkRead(Node const& reader, TallyTable const& table);
  void checkRefusal(Node const& reader);
  /// True if no machine had any trouble within the last mergeTime.
  bool isCalm() const;
  bool hasLostAdditions(Node const& node) const;

  bool mustBeVisible(Acknowledged const& added) const { return !added.mayBeLost || !wiped_.contains(added.by); }

  /// False if a machine was down within the last mergeTime; a machine that lost its disk counts as a new one.
  bool hasBeenUp(NodeId id) const;

  void injectFault();

  /// Kills a process, or cuts the power of its machine.
  void stop(Node& node, bool losesPower);
  void freeze(Node& node);
  /// Wipes the disks of a zone that is isolated, and with them what only that zone has counted.
  void wipeIsolatedZone();

  /// Wipes a disk, unless that exceeds the number of losses to survive.
  void wipe(Node& node);

  /// True for a member that counts among the losses to survive.
  bool isLost(Node const& node) const;
  std::size_t lostMembers() const;
  /// True for a node that was partitioned or frozen and may not have caught up since; it counts as lost.
  bool mayLackAdditions(Node const& node) const;
  void cut();

  void heal();
  /// Lets all nodes recover, and waits until the callers of each are answered.
  void finish();
  void checkEnd();

  std::size_t firstMember() const;
  void note(string const& text);
  void noteMissing(Node const& node, string const& tally);
  void fail(string const& what);

  std::mt19937_64 random_;
  Mutation mutation_;
  Ms length_;
  vector<std::unique_ptr<Node>> nodes_;
  vector<Member> members_;
  vector<vector<bool>> blocked_;
  vector<Packet> packets_;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> awaiting_;
  vector<Call> calls_;
  std::map<string, TallyTotal> sent_;
  vector<Acknowledged> acknowledged_;
  std::set<NodeId> wiped_;
  std::optional<TimePoint> cutEndsAt_;
  bool cutIsolatesZone_ = false;
  TimePoint now_ = TimePoint(Ms(1000000)), cutBeganAt_, lastCutAt_, lastThawAt_, recoveringUntil_;
  Ms elapsed_{0};
  bool finishing_ = false;  ///< no more faults; all nodes restart
  std::uint64_t lastId_ = 0;
  bool killsNextCounting_ = false;  ///< the next member that counts an addition for another node is killed at once
  std::size_t pendingWipes_ = 0, wipes_ = 0, removals_ = 0, forwardedReads_ = 0, refusedReads_ = 0;
  std::optional<std::size_t> acknowledgedNow_;  ///< the node that acknowledged an addition in this step
  vector<string> trace_;
  Violation violation_;
};

}  // namespace sim
}  // namespace tealshelf
