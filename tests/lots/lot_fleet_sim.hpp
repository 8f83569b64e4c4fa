#pragma once
#include "lots/coordination/holder_reports.hpp"
#include "lots/coordination/lease_grants.hpp"
#include "lots/coordination/lot_recovery.hpp"
#include "lots/coordination/replica_rules.hpp"
#include "segments/replica_table.hpp"

#include <random>

namespace tealshelf::sim {

/// Simulation of control nodes that own the keyspace of lots in turn, and of stores that hold the lots, on a virtual
/// clock.
///
/// It runs the real LotRecovery, HolderReports, LeaseGrants and ReplicaTable. Ownership (epochs, majorities, a
/// preferred owner that gets its keyspace back), disks and their syncs, links, and the rest of coordinators and stores
/// are models. A seed determines the faults: partitions, killed and frozen nodes, power failures and wiped disks, many
/// of them right after a lot was accepted or the owner changed. run() checks that no listed result disappears or
/// changes for a reader, and that after all faults have ended every accepted lot is readable and complete.
class LotFleet {
 public:
  /// A fault put into the algorithm, which the checks must detect.
  enum class Mutation {
    none,
    staleOwnerWrites,  ///< a recovery commits its record under the node's current epoch, not the one in which it began
    namesUnsyncedCopies,   ///< a record names copies that their stores haven't synced
    fencedLeaseIsKept,     ///< a store whose lease was fenced doesn't ask for a higher one
    skipsFence,            ///< a former primary outside the recovery isn't fenced and keeps serving under its lease
    reportsOutliveStamps,  ///< reports of failed holders are kept when the stamp changes
    failedRecoveryIsNotRetried  ///< a failed recovery isn't retried
  };
  static constexpr Ms step{10}, inTouch{4000}, catchUp{6000};
  static constexpr std::size_t edges = 4, survive = 2, neededCopies = survive + 1, items = 24, maxLots = 16;

  LotFleet(std::uint64_t seed, Mutation mutation, Ms length = Ms(40000));
  /// Runs the simulation; returns the first violation, or an empty text.
  string run();
  std::size_t accepted() const { return accepted_.size(); }
  std::size_t recoveries() const { return recoveries_; }
  std::size_t ownerships() const { return committed_.epoch; }
  std::size_t wipes() const { return wipes_; }
  /// The events of the run, one line each, for a look at a single seed.
  vector<string> const& trace() const { return trace_; }

 private:
  /// A call to a store, which answers after a sync.
  struct StoreCall {
    std::size_t store = 0, incarnation = 0, syncs = 0;
    TimePoint arrivesAt, end;
    std::function<bool()> apply;  ///< false if the store refuses
    bool applied = false, reached = false, done = false, accepted = false;
  };
  using CallPtr = std::shared_ptr<StoreCall>;

  /// The execution of a lot at its primary.
  struct Run {
    LotRecord lot;
    std::size_t listed = 0, listedAfterAppend = 0;  ///< results listed, and results after the pending append
    bool stalled = false;
    std::set<NodeId> failedHolders;
    vector<std::pair<NodeId, CallPtr>> calls;
  };
  struct UnusableSince {
    GenerationStamp stamp;
    TimePoint since;
  };
  struct Store {
    StoreRef self;
    std::size_t index = 0, incarnation = 0;
    bool up = true;
    TimePoint upAgainAt, countsAsLostUntil;
    std::uint64_t lease = 1;
    ReplicaTable table;
    vector<string> disk;
    std::deque<std::pair<TimePoint, vector<string>>> pending;
    std::size_t syncsStarted = 0, syncsDone = 0, heartbeatCount = 0;
    TimePoint nextHeartbeatAt;
    std::map<std::size_t, TimePoint> grantedAt;
    std::map<LotKey, LotRecord> lots;
    std::map<LotKey, UnusableSince> unusable;
    std::map<LotKey, Run> runs;
  };

  /// What a control node keeps of a lot in memory, across changes of ownership.
  struct LotStatus {
    HolderReports reports;
    std::set<NodeId> everFailed;
    TimePoint openedAt, lastTriedAt;
    bool recovering = false, lastRecoveryFailed = false;
  };
  struct Control {
    std::size_t index = 0, incarnation = 0;
    string zone;
    bool up = true;
    TimePoint upAgainAt, frozenUntil, majorityAt, nextUpkeepAt;
    std::optional<std::uint64_t> epoch;  ///< set while the node believes that it is the owner
    std::uint64_t stamps = 0;
    std::map<string, LotRecord> records;  ///< local copy
    std::unique_ptr<LeaseGrants> leases;
    std::map<NodeId, std::pair<StoreRef, TimePoint>> lastHeartbeats;
    std::map<string, LotStatus> lots;
  };
  /// State that a majority of the control nodes committed.
  struct CommittedState {
    std::uint64_t epoch = 1;
    std::size_t owner = 0;
    TimePoint ownerUnhealthySince, preferredHealthySince;
    std::map<string, LotRecord> records;
  };
  /// The recovery of one lot at one control node.
  struct RecoveryTask {
    std::size_t node = 0, incarnation = 0;
    std::uint64_t epoch = 0;
    string lot;
    std::unique_ptr<LotRecovery> recovery;
    std::size_t holderIndex = 0;  ///< within the current step
    TimePoint dueAt;
    CallPtr call;
    std::shared_ptr<InspectReplicaReply> reply;
    vector<std::optional<InspectReplicaReply>> replies;
    vector<StoreRef> settled;
    std::optional<RecoveryCopies> copies;
    std::set<NodeId> excluded;
    std::optional<StoreRef> target;
    bool ended = false;
  };
  /// A client's submission of a lot.
  struct Submission {
    LotRecord lot;
    std::size_t node = 0, holderIndex = 0, synced = 0;
    int phase = 0;
    TimePoint dueAt;
    CallPtr call;
    bool ended = false;
  };
  /// A read through an edge node, which uses its cached record as long as the primary named there answers.
  struct Reader {
    LotRecord lot;
    std::size_t edge = 0, seenAtStart = 0;  ///< results that readers had seen when it began
    TimePoint dueAt;
  };

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  Ms randomDelay() { return Ms(1 + static_cast<std::int64_t>(pick(25))); }
  void note(string const& text);
  void fail(string const& what);

  // Machines and links: lot_fleet_sim.cpp.
  std::size_t machineOf(Store const& store) const { return controls_.size() + store.index; }
  string const& zoneOf(std::size_t machine) const;
  bool linked(std::size_t left, std::size_t right) const { return !blocked_[left][right] && !blocked_[right][left]; }
  bool runs(Control const& node) const { return node.up && now_ >= node.frozenUntil; }
  bool hasMajority(Control const& node) const;
  void startStore(Store& store);
  void flush(Store& store);
  void advance();
  void advanceControl(Control& node);
  void advanceStore(Store& store);
  void chooseOwner();
  void takeOver(Control& node);
  bool confirmsOwnership(Control const& node) const;
  bool commit(Control& node, LotRecord const& lot, std::uint64_t under);
  void checkHolders(LotRecord const& lot);
  Store* storeOf(StoreRef const& ref);
  CallPtr callStore(std::size_t fromMachine, StoreRef const& to, std::function<bool(Store&)> apply, Ms limit,
                    bool waitsForSync = true);
  void advanceCalls();

  // Stores: lot_fleet_stores.cpp.
  void sendHeartbeats(Store& store);
  void handleHeartbeat(Store& store, Control& node);
  void learnRecord(Store& store, LotRecord const& lot);
  void reconcile(Store& store);
  void startRun(Store& store, LotRecord const& lot);
  void appendNextResult(Store& store, Run& run);
  bool hasLease(Store const& store) const;
  void renewLease(Store& store, std::uint64_t fencedUpTo);
  void report(Store& store, Control& node);

  // Coordinators and clients: lot_fleet_coordination.cpp.
  bool isDead(Control const& node, NodeId store) const;
  bool isDiskReplaced(Control const& node, StoreRef const& holder) const;
  vector<StoreRef> chooseHolders(Control const& node, string const& lot, std::set<NodeId> const& excluded,
                                 vector<StoreRef> holders) const;
  void startDueRecoveries(Control& node);
  std::set<NodeId> failedHoldersOf(LotStatus const& status, GenerationStamp stamp) const;
  bool needsRecovery(Control const& node, LotRecord const& lot, LotStatus const& status) const;
  void startRecovery(Control& node, LotRecord const& lot);
  void advanceRecovery(RecoveryTask& task);
  void advanceInspect(RecoveryTask& task, recovery_step::InspectHolders const& step);
  void advanceCopies(RecoveryTask& task, recovery_step::MakeCopies const& step);
  void advanceSettle(RecoveryTask& task, recovery_step::SettleHolders const& step);
  bool fenceAtMajority(Control& node, NodeId store);
  void beginNextStep(RecoveryTask& task);
  void endRecovery(RecoveryTask& task, RecoveryOutcome outcome);
  std::optional<GenerationStamp> freshStamp(Control& node, std::uint64_t epoch);
  void submit();
  void advanceSubmission(Submission& submission);
  void startRead();
  /// The number of results listed by the primary that a record names; none if it doesn't answer.
  std::optional<std::size_t> read(LotRecord const& lot);
  void finishRead(Reader const& reader);

  // Faults and the final check: lot_fleet_faults.cpp.
  void injectFault();
  void stopStore(Store& store, bool losesPower);
  void stopControl(Control& node);
  std::size_t lostStores() const;
  void wipe(Store& store);
  /// Turns off all stores, and wipes as many holders of a lot as the lot must survive.
  void powerOffAll(LotRecord const& lot);
  void partition();
  void heal();
  void checkEnd();

  std::mt19937_64 random_;
  Mutation mutation_;
  Ms length_;
  vector<std::unique_ptr<Control>> controls_;
  vector<std::unique_ptr<Store>> stores_;
  vector<vector<bool>> blocked_;
  std::optional<TimePoint> partitionEndsAt_;
  std::set<string> partitionedZones_;
  TimePoint healedAt_;
  CommittedState committed_;
  vector<CallPtr> calls_;
  std::list<RecoveryTask> tasks_;
  std::list<Submission> submissions_;
  vector<Reader> readers_;
  std::map<std::pair<std::size_t, string>, LotRecord> cachedRecords_;  ///< by edge and lot
  std::set<string> accepted_;
  std::map<string, vector<string>> seen_;  ///< results that readers saw, by position
  TimePoint now_ = TimePoint(Ms(1000000));
  Ms elapsed_{0};
  bool finishing_ = false;
  std::uint64_t lastId_ = 0, lotCount_ = 0, resultCount_ = 0;
  std::size_t recoveries_ = 0, wipes_ = 0;
  TimePoint nextFaultAt_;              ///< of a fault scheduled right after another event
  std::optional<LotRecord> powerOff_;  ///< a just committed record; all stores lose power next
  vector<string> trace_;
  string violation_;
};

}  // namespace tealshelf::sim
