#pragma once
#include "base/async_mutex.hpp"
#include "base/invariant.hpp"
#include "base/metrics.hpp"
#include "consensus/consensus_driver.hpp"
#include "lots/coordination/holder_reports.hpp"
#include "lots/coordination/lease_grants.hpp"
#include "lots/coordination/lot_recovery.hpp"
#include "lots/coordination/recovery_metrics.hpp"
#include "lots/coordination/replica_rules.hpp"
#include "lots/coordination/store_placement.hpp"
#include "lots/coordination/submission_rates.hpp"
#include "lots/coordination/waiting_lots.hpp"
#include "lots/execution/lot_ages.hpp"
#include "lots/messages.hpp"

namespace tealshelf {

/// Manages the records and generation stamps of lots in the keyspaces that this control node owns, and recovers lots
/// whose holders fail.
///
/// Runs on the io thread. Settings, client and driver must outlive it.
class LotCoordinator {
 public:
  LotCoordinator(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver);
  void start(RpcServer& server);

  /// Returns the names of the stores that are being drained.
  std::function<std::set<string>()> retiringStores;
  /// Returns a tenant of the configuration in force; nothing if there is none of that name.
  std::function<std::optional<Tenant>(string const& name)> findTenant;
  /// Stores with a recent heartbeat that accept new replicas.
  vector<StoreRef> liveStores(TimePoint now) const;
  bool isKnownStore(string const& name) const;
  /// Counts the lots of all keyspaces that still depend on a store; throws if an owner can't be asked.
  Task<std::uint64_t> countLotsRelyingOn(string store);
  static string keyspaceOf(string const& host);
  static bool isLotKeyspace(string const& keyspace) { return keyspace.starts_with(keyspaceOf("")); }
  std::size_t activeRecoveries() const { return recoveries_; }
  /// Lots that this node keeps state of in memory beside their records.
  std::size_t trackedLots() const { return lots_.size(); }
  /// JSON report of the lots in owned keyspaces whose recovery keeps failing, with the reason and the time since.
  string waitingLotsJson() const;

 private:
  /// State of a store in its last heartbeat.
  struct StoreStatus {
    StoreRef ref;
    TimePoint lastHeartbeatAt;
    bool leaving = false, diskFailing = false;
    StoreLoad load;
  };
  /// In-memory state of a lot in addition to its committed record; lost at a restart.
  struct LotStatus {
    std::uint64_t revision = 0;  ///< `revision_` at the last change of the record
    std::uint64_t finishedTokens = 0, listedResults = 0;
    GenerationStamp finalStamp;      ///< under which the primary reported that no more results will be listed
    std::uint64_t finalResults = 0;  ///< results listed at that report
    HolderReports reports;
    TimePoint openedAt;
    bool recovering = false;
    TimePoint recoveryStartedAt, lastRecoveryAt;
    RecoveryNeed need = RecoveryNeed::none;
    TimePoint needSince;
    RecoveryOutcome lastOutcome = RecoveryOutcome::none;
    std::size_t failedRecoveries = 0;  ///< consecutive
    TimePoint failingSince;            ///< when the first of them ended
    TimePoint lastWarnedAt;            ///< when the failure was last logged
    string lastRecoverySummary;        ///< LotRecovery::describe() of the last recovery
    std::optional<AsyncMutex> mutex;   ///< serializes changes of the record
  };
  /// A lot whose first record is being committed.
  struct OpeningLot {
    LotRecord lot;
    TimePoint startedAt;
  };

  // Requests of edge nodes: lot_coordinator.cpp.
  Task<OpenLotReply> open(OpenLot request);
  Task<OpenLotReply> refuse(LotKey key, Error refusal);
  Task<Acknowledgement> accept(AcceptLot request);
  Task<FindLotReply> find(FindLot request);
  Task<FindLotReply> end(EndLot request);
  /// Counts a new lot against its tenant's rate limit; throws ErrorCode::rateExceeded if it is over that.
  void checkRate(LotRecord const& lot);
  /// Throws ErrorCode::lotOverQuota if a lot would exceed the limit of tokens queued on its route.
  void checkQuota(LotRecord const& lot, std::uint64_t maxQueuedTokens) const;
  /// Chooses the holders of a new lot; throws ErrorCode::storesFull or ErrorCode::noStores.
  vector<StoreRef> chooseForNewLot(LotRecord const& lot, std::set<NodeId> const& excluded, double itemBytes);
  bool countsTowardsQuota(LotRecord const& lot, LotRecord const& incoming) const;
  /// True while a lot that this process opened may still be accepted.
  bool mayBeAccepted(LotKey const& key, Ms within) const;

  // Records.
  /// False if no lot was accepted under a host. Unlike a new lot, a request about one doesn't create the keyspace of
  /// its host: clients choose the hosts they ask for. Throws ErrorCode::noQuorum or ErrorCode::busy if that is unknown.
  Task<bool> mayHaveLots(string host);
  /// Forwards a request to the owner of the host's keyspace; no reply if that is this node.
  template <class Request>
  Task<std::optional<typename Request::Reply>> forward(string const& host, Request request);
  /// Throws ErrorCode::noQuorum unless a majority confirms that this node owns the keyspace of a host.
  Task<void> confirmOwnership(string host);
  std::optional<LotRecord> load(LotKey const& key) const;
  bool hasRecord(LotKey const& key) const;
  void checkRecordChange(LotRecord const& next) const;
  /// Commits a record under the epoch in which the previous one was read, so that no change in between is overwritten.
  /// Returns false if the record isn't known to be committed.
  Task<bool> save(LotRecord lot, Epoch under);
  /// Serializes changes of a lot's record; throws ErrorCode::busy if the lock isn't obtained in time.
  Task<AsyncMutex::Lock> lock(LotKey key);
  GenerationStamp freshStamp(string const& host);
  std::size_t countLotKeyspaces() const;
  /// Lot keyspaces that this node owns.
  vector<string> ownedKeyspaces() const;

  // Stores: store_supervision.cpp.
  Task<StoreHeartbeatReply> receiveHeartbeat(StoreHeartbeat heartbeat);
  void recordHeartbeat(StoreHeartbeat const& heartbeat, TimePoint now);
  void addRecords(string const& keyspace, std::uint64_t sinceRevision, StoreHeartbeatReply& reply);
  void addStaleReplicas(string const& keyspace, StoreHeartbeat const& heartbeat, StoreHeartbeatReply& reply) const;
  /// Drops stale replicas of a host from the reply unless a majority confirms that this node owns its keyspace.
  Task<void> confirmStaleReplicas(NodeId store, StoreHeartbeatReply& reply);
  /// True if a store's replica is no longer needed and may be deleted.
  bool isStale(ReplicaVersion const& replica, NodeId store) const;
  Task<Acknowledgement> fence(FenceStore request);
  bool isDead(NodeId store, TimePoint now) const;
  bool isDiskFailing(NodeId store) const;
  /// A copy of a lot that needs a store.
  struct Placement {
    string lot;
    CopyPurpose purpose;
    double bytes = 0;                 ///< expected size, 0 if unknown
    vector<StoreRef> currentHolders;  ///< stores that have a replica already
  };
  bool canPlaceOn(Placement const& placement, StoreRef const& store) const;
  /// Adds stores with room to `holders` until there are `count`: first in zones that hold no copy, in rendezvous order.
  vector<StoreRef> chooseHolders(Placement const& placement, std::set<NodeId> const& excluded, vector<StoreRef> holders,
                                 std::size_t count, TimePoint now) const;
  /// Chooses the needed holders, and a spare one while there is plenty of room.
  vector<StoreRef> chooseWithSpare(Placement placement, std::set<NodeId> const& excluded,
                                   vector<StoreRef> const& holders, TimePoint now) const;
  /// Updates whether the stores have room for spare copies.
  void updateRoomForSpares(TimePoint now);
  FleetLoad fleetLoad(TimePoint now) const;
  /// True if the machine of a holder has since sent a heartbeat with another disk, so that the holder's replica is
  /// gone.
  bool isDiskReplaced(StoreRef const& holder) const;
  /// True if a holder is dead, or its disk was replaced or is failing.
  bool isLost(StoreRef const& holder, TimePoint now) const;
  /// Copies that a lot must have to survive the configured number of machine losses.
  std::size_t neededCopies() const { return static_cast<std::size_t>(settings_.surviveMachines) + 1; }

  // Upkeep: lot_upkeep.cpp.
  Task<void> upkeepLoop();
  /// Copies of lots in the owned keyspaces.
  struct CopyCount {
    std::size_t named = 0;   ///< by records
    std::size_t needed = 0;  ///< of these, copies that aren't spare
  };
  /// Deletes expired records of lots, starts recoveries, and adds to the count of copies.
  Task<void> maintainKeyspace(string keyspace, CopyCount& copies);
  /// Drops the in-memory state of lots without a record: those that were refused or not accepted, and those whose
  /// record the owner, here or elsewhere, has deleted.
  void forgetLotsWithoutRecord(TimePoint now);
  static bool isChanging(LotStatus const& status);
  bool isDeletable(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  RecoveryNeed recoveryNeedOf(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  RecoveryNeed recoveryNeedOfSealed(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  /// The delay before a recovery is retried; for needs that aren't urgent it grows with each failure.
  Ms retryPause(LotStatus const& status, RecoveryNeed need) const;
  struct PendingRecovery {
    LotRecord lot;
    RecoveryNeed need;
  };
  void startRecoveries(vector<PendingRecovery> pending);
  Task<void> recover(LotKey key, RecoveryNeed need);
  Task<RecoveryOutcome> recoverAs(RecoveryNeed need, LotRecord lot, Epoch epoch);
  /// Records how a recovery ended and logs failures; the warning about a lot is repeated at a limited rate.
  void recordOutcome(LotKey const& key, RecoveryNeed need, RecoveryOutcome outcome);

  // Recovery of unsealed lots, which carries out the steps of LotRecovery: recovery_driver.cpp.
  Task<RecoveryOutcome> recoverUnsealed(LotRecord lot, Epoch epoch);
  RecoveryStart recoveryStart(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  std::optional<GenerationStamp> stampIfOwner(string const& host, Epoch epoch);
  /// Fences a store at a majority of the control nodes; false if its lease may still be valid.
  Task<bool> fenceAtMajority(NodeId store);
  Task<vector<std::optional<InspectReplicaReply>>> inspectHolders(LotKey key, vector<StoreRef> holders);
  Task<vector<StoreRef>> settleHolders(recovery_step::SettleHolders step);
  /// Copies a lot to other stores until it has enough holders or no candidate is left.
  Task<RecoveryCopies> makeCopies(CopyReplica request, vector<StoreRef> sources, vector<StoreRef> holders,
                                  std::set<NodeId> excluded);
  void logRecovered(LotRecovery const& recovery);

  // Sealed lots: sealed_lots.cpp.
  /// Marks a lot as sealed: no more results will be listed, and all holders have those that are.
  Task<RecoveryOutcome> seal(LotRecord lot, Epoch epoch);
  /// Replaces, adds or removes holders of a sealed lot as needed. Its replicas never change, so each intact one serves
  /// reads meanwhile.
  Task<RecoveryOutcome> replicateSealed(LotRecord lot, Epoch epoch);
  struct HolderConfirmations {
    vector<StoreRef> confirmed;    ///< have an intact and synced replica
    vector<StoreRef> unreachable;  ///< didn't answer; may have a replica
  };
  Task<HolderConfirmations> confirmSealedHolders(LotRecord lot);
  /// Removes holders until `count` are left: first those that share a zone with another, of these the fullest.
  vector<StoreRef> trimHolders(vector<StoreRef> holders, std::size_t count) const;

  // Removal of stores: relying_lots.cpp.
  Task<std::uint64_t> countRelyingInKeyspace(string host, string store);
  Task<ConfirmedReplicas> confirmHeldReplicas(string host);

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  ConsensusDriver& driver_;
  TimePoint startedAt_ = Clock::now();
  std::uint64_t processId_ = randomId();
  std::uint64_t revision_ = 0;
  std::uint64_t stampCounter_ = 0;
  std::map<string, GenerationStamp> lastStamps_;  ///< issued by this process, by host
  LeaseGrants leases_{settings_.bounds.inTouch / 5, startedAt_};
  std::map<NodeId, StoreStatus> stores_;
  std::map<LotKey, LotStatus> lots_;
  std::map<LotKey, OpeningLot> opening_;
  std::map<string, Epoch> knownEpochs_;  ///< by owned keyspace, as of the last heartbeat
  SubmissionRates rates_{settings_.bounds};
  std::size_t recoveries_ = 0;
  RecoveryMetrics recoveryMetrics_;
  Counter refusedForRoom_ =
      metrics().counter("tealshelf_lots_refused_for_room_total", "Lots refused as the stores are full.");
  TimePoint lastRepeatedWarningAt_;  ///< of any lot
  TimePoint lastForgottenAt_;        ///< when forgetLotsWithoutRecord() last ran
  bool roomForSpares_ = true, mustTrimSpares_ = false;
  double neededCopyShare_ = 1;  ///< fraction of the copies named by records that aren't spare
  LotAges ages_;
  std::map<string, TimePoint> excludedStores_;  ///< stores to be removed: no new replicas since this time
};

}  // namespace tealshelf
