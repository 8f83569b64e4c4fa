#pragma once
#include "tallies/tally_replica.hpp"

#include <random>

namespace tealshelf {

/// Reaches into a replica, for what must be broken on purpose.
struct TallyReplicaTestAccess {
  static void replaceTable(TallyReplica& replica, TallyTable const& table) { replica.table_ = table; }
  static void applyShifted(TallyReplica& replica, AddBatch batch) {
    batch.first = replica.table_.lastOf(batch.origin) + 1;
    replica.table_.apply(batch);
  }
};

namespace sim {

/// A violated promise; empty if none.
using Violation = string;

/// Nodes that keep tallies, with their disks, links and callers, on a virtual clock.
///
/// A seed picks the cuts (a zone off, halves, one way, a bridge), kills, losses of power, wiped disks and repeats of
/// calls at other nodes. run() checks reads on the way, and at the end, healed, that all nodes tell the same and that
/// nothing acknowledged is missing.
class TallyFleet {
 public:
  enum class Mutation {
    none,
    forgetsIds,            ///< a settled addition isn't remembered
    reusesOrigin,          ///< a wiped disk goes on under its old origin
    acknowledgesUnsynced,  ///< a caller is answered before the sync
    acknowledgesAlone,     ///< a caller is answered once the own disk has it
    mergesByLargerTotal,   ///< of two tables the one with the greater sum wins
    readsBeforeCatchUp,    ///< a node answers reads as soon as it runs
    appliesTwice           ///< additions that came already are taken in once more
  };
  static constexpr Ms step{10}, replicaTick{50}, mergeTime{3000}, callLimit{800}, pushLimit{500};
  static constexpr std::size_t survive = 2, tallies = 4;

  TallyFleet(std::uint64_t seed, Mutation mutation, Ms length = Ms(40000));
  Violation run();
  std::size_t acknowledged() const { return acknowledged_.size(); }
  std::size_t wipes() const { return wipes_; }
  /// What happened, one line each, for a seed that is looked at.
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
    bool duringCut = false;
  };
  struct WaitingCaller {
    Call call;
    AddPosition position;
    TimePoint end;
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
    std::map<string, std::int64_t> acknowledgedInThisLife;
    std::uint64_t life = 0;
    TimePoint upAgainAt, upSince;
    bool up = false, isNewcomer = false, cutOff = false;
    Ms sinceTick{0};
  };
  /// Something on its way between two processes.
  struct Packet {
    std::size_t from = 0, to = 0;
    std::uint64_t toLife = 0;
    TimePoint at;
    std::optional<TallyPush> push;
    std::optional<TallyPushReply> reply;
    bool isTimeout = false;  ///< comes to `to` itself: the push to `from` had no answer
    std::uint64_t heartbeat = 0;
  };

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  std::int64_t wallMs() const { return 1000000 + elapsed_.count(); }

  static TallyTiming timing(Mutation mutation);
  void renew(Node& node);

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
  void live(Node& node);

  void heartbeat(Node& node);

  /// Takes a wiped node in again, in the place of its earlier self.
  void admit(Node& node);
  void call(Node& node);

  void answerCallers(Node& node);
  bool isAnswered(Node const& node, WaitingCaller const& caller) const;
  static bool isOnOwnDisk(Node const& node, AddPosition position);
  void acknowledge(Node& node, Call const& call);

  /// Right after an acknowledgement its node loses its disk, and maybe others do.
  void wipeAfterAcknowledgement();
  void read(Node& node);

  bool mustBeVisible(Acknowledged const& added) const { return !added.duringCut || !wiped_.contains(added.by); }

  /// False if a machine was down within mergeTime; one that lost its disk is another machine.
  bool hasBeenUp(NodeId id) const;

  void trouble();

  /// Kills a process, or takes the power from its machine.
  void stop(Node& node, bool losesPower);

  /// Loses a disk, if no more than may be lost at once are.
  void wipe(Node& node);

  /// One that was cut off, and may not have caught up since, counts as lost.
  bool mayLackAdditions(Node const& node) const;
  void cut();

  void heal();
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
  TimePoint now_ = TimePoint(Ms(1000000)), lastCutAt_, recoveringUntil_;
  Ms elapsed_{0};
  bool finishing_ = false;  ///< no more troubles; all come back
  std::uint64_t lastId_ = 0;
  std::size_t pendingWipes_ = 0, wipes_ = 0;
  std::optional<std::size_t> acknowledgedNow_;  ///< the node that acknowledged in this step
  vector<string> trace_;
  Violation violation_;
};

}  // namespace sim
}  // namespace tealshelf
