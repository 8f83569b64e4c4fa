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
#include "lots/coordination/waiting_lots.hpp"
#include "lots/execution/lot_ages.hpp"
#include "lots/messages.hpp"

namespace tealshelf {

/// Keeps the records and stamps of lots for the keyspaces that this control node owns, and recovers lots whose holders
/// fail.
///
/// Runs on the io thread. Settings, client and driver must outlive it.
class LotCoordinator {
 public:
  LotCoordinator(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver);
  void start(RpcServer& server);

  /// Gives the names of the stores that shall be emptied.
  std::function<std::set<string>()> retiringStores;
  /// Stores that were heard lately and take new replicas.
  vector<StoreRef> liveStores(TimePoint now) const;
  bool isKnownStore(string const& name) const;
  /// How many lots of all keyspaces rely on a store; throws if that can't be told.
  Task<std::uint64_t> countLotsRelyingOn(string store);
  static string keyspaceOf(string const& host);
  static bool isLotKeyspace(string const& keyspace) { return keyspace.starts_with(keyspaceOf("")); }
  std::size_t activeRecoveries() const { return recoveries_; }
  /// The lots of owned keyspaces whose recovery was tried in vain, with the reason and since when, as a JSON text.
  string waitingLotsJson() const;

 private:
  /// A store as it was heard last.
  struct StoreStatus {
    StoreRef ref;
    TimePoint heardAt;
    bool leaving = false, diskFailing = false;
    StoreLoad load;
  };
  /// What this process knows of a lot beside its record; it may be lost.
  struct LotStatus {
    std::uint64_t revision = 0;  ///< of the last change of the record
    std::uint64_t finishedTokens = 0, listedResults = 0;
    GenerationStamp finalStamp;      ///< under which its primary said that nothing more will be listed
    std::uint64_t finalResults = 0;  ///< and how many results were listed then
    HolderReports reports;
    TimePoint openedAt;
    bool recovering = false;
    TimePoint recoveryStartedAt, lastRecoveryAt;
    RecoveryNeed need = RecoveryNeed::none;
    TimePoint needSince;
    RecoveryOutcome lastOutcome = RecoveryOutcome::none;
    std::size_t failedRecoveries = 0;  ///< in a row
    TimePoint failingSince;            ///< when the first of them ended
    TimePoint lastWarnedAt;            ///< when the log last said that it waits
    string lastRecoverySummary;        ///< what the last recovery saw
    std::optional<AsyncMutex> mutex;   ///< for changes of the record
  };
  /// A lot whose first record is being written.
  struct OpeningLot {
    string route, tenant;
    std::uint64_t tokens = 0;
    TimePoint startedAt;
  };

  // Calls of edge nodes: lot_coordinator.cpp.
  Task<OpenLotReply> open(OpenLot request);
  Task<OpenLotReply> refuse(LotKey key, Error refusal);
  Task<Acknowledgement> accept(AcceptLot request);
  Task<FindLotReply> find(FindLot request);
  Task<FindLotReply> end(EndLot request);
  /// Throws ErrorCode::lotOverQuota if a lot doesn't fit the tokens that may wait on its route.
  void checkQuota(LotRecord const& lot, std::uint64_t maxQueuedTokens) const;
  /// The first holders of a lot; throws storesFull or noStores.
  vector<StoreRef> chooseForNewLot(LotRecord const& lot, std::set<NodeId> const& excluded, double itemBytes);
  bool countsTowardsQuota(LotRecord const& lot, LotRecord const& incoming) const;
  /// True while a lot that was opened here may still be accepted.
  bool mayBeAccepted(LotKey const& key, Ms within) const;

  // Records.
  /// Hands a call to the owner of the keyspace if that is another node.
  template <class Request>
  Task<std::optional<typename Request::Reply>> forward(string const& host, Request request);
  /// Throws ErrorCode::noQuorum unless a majority says that this node owns the keyspace of a host.
  Task<void> confirmOwnership(string host);
  std::optional<LotRecord> load(LotKey const& key) const;
  void checkRecordChange(LotRecord const& next) const;
  /// Writes a record under the epoch under which the one before was read, so that nothing that came between is
  /// overwritten. False if the record isn't known to be committed.
  Task<bool> save(LotRecord lot, Epoch under);
  /// Lets one change of a lot's record at a time begin; throws ErrorCode::busy if that takes too long.
  Task<AsyncMutex::Lock> lock(LotKey key);
  GenerationStamp freshStamp(string const& host);
  std::size_t countLotKeyspaces() const;
  /// Keyspaces of lots that this node owns.
  vector<string> ownedKeyspaces() const;

  // Stores: store_supervision.cpp.
  Task<StoreHeartbeatReply> receiveHeartbeat(StoreHeartbeat heartbeat);
  void recordHeartbeat(StoreHeartbeat const& heartbeat, TimePoint now);
  void addRecords(string const& keyspace, std::uint64_t sinceRevision, StoreHeartbeatReply& reply);
  void addStaleReplicas(string const& keyspace, StoreHeartbeat const& heartbeat, StoreHeartbeatReply& reply) const;
  /// Leaves out what an owner says that may have been overtaken.
  Task<void> confirmStaleReplicas(NodeId store, StoreHeartbeatReply& reply);
  /// True if a store's replica counts for nothing any more.
  bool isStale(ReplicaVersion const& replica, NodeId store) const;
  Task<Acknowledgement> fence(FenceStore request);
  bool isDead(NodeId store, TimePoint now) const;
  bool isDiskFailing(NodeId store) const;
  /// What a copy is wanted for, and how large it will be as far as that is known.
  struct Placement {
    string lot;
    CopyPurpose purpose;
    double bytes = 0;
    vector<StoreRef> currentHolders;  ///< stores that have a replica already
  };
  bool canPlaceOn(Placement const& placement, StoreRef const& store) const;
  /// Adds stores with room to those that a lot has, in other zones first, in rendezvous order.
  vector<StoreRef> chooseHolders(Placement const& placement, std::set<NodeId> const& excluded, vector<StoreRef> holders,
                                 std::size_t count, TimePoint now) const;
  /// Chooses the needed holders, and a spare one where there is plenty of room.
  vector<StoreRef> chooseWithSpare(Placement placement, std::set<NodeId> const& excluded,
                                   vector<StoreRef> const& holders, TimePoint now) const;
  /// Notes whether the stores have room for copies beyond the needed ones.
  void updateRoomForSpares(TimePoint now);
  FleetLoad fleetLoad(TimePoint now) const;
  /// True if the disk of a holder is known to be gone: its machine was heard with another one since.
  bool isDiskReplaced(StoreRef const& holder) const;
  /// True if a holder can't be counted on any more: it is dead, or its disk is gone or fails.
  bool isLost(StoreRef const& holder, TimePoint now) const;
  /// Copies that a lot must have to survive what the deployment may lose.
  std::size_t neededCopies() const { return static_cast<std::size_t>(settings_.surviveMachines) + 1; }

  // Upkeep: lot_upkeep.cpp.
  Task<void> upkeepLoop();
  /// Deletes records of lots that nobody asks for any more, and starts recoveries.
  struct CopyCount {
    std::size_t named = 0;   ///< by records
    std::size_t needed = 0;  ///< of them, those that can't be given up
  };
  Task<void> maintainKeyspace(string keyspace, CopyCount& copies);
  /// Forgets what is known of lots whose records are deleted.
  void forget(string const& host, vector<KeyChange> const& deletions);
  bool isDeletable(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  RecoveryNeed recoveryNeedOf(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  RecoveryNeed recoveryNeedOfSealed(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  /// The pause before a recovery is tried again; it grows with failures.
  Ms retryPause(LotStatus const& status, RecoveryNeed need) const;
  struct PendingRecovery {
    LotRecord lot;
    RecoveryNeed need;
  };
  void startRecoveries(vector<PendingRecovery> pending);
  Task<void> recover(LotKey key, RecoveryNeed need);
  Task<RecoveryOutcome> recoverAs(RecoveryNeed need, LotRecord lot, Epoch epoch);
  /// Notes how a recovery ended and tells of lots that wait for theirs, again and again at a bounded rate.
  void recordOutcome(LotKey const& key, RecoveryNeed need, RecoveryOutcome outcome);

  // Recovery of lots that go on: recovery_driver.cpp, for LotRecovery.
  Task<RecoveryOutcome> recoverUnsealed(LotRecord lot, Epoch epoch);
  RecoveryStart recoveryStart(LotRecord const& lot, LotStatus const& status, TimePoint now) const;
  std::optional<GenerationStamp> stampIfOwner(string const& host, Epoch epoch);
  /// Fences a store at a majority of the control nodes; false if its lease may still count.
  Task<bool> fenceAtMajority(NodeId store);
  Task<vector<std::optional<InspectReplicaReply>>> inspectHolders(LotKey key, vector<StoreRef> holders);
  Task<vector<StoreRef>> settleHolders(recovery_step::SettleHolders step);
  /// Has a lot copied to other stores until it has enough holders or no store is left that may take it.
  Task<RecoveryCopies> makeCopies(CopyReplica request, vector<StoreRef> sources, vector<StoreRef> holders,
                                  std::set<NodeId> excluded);
  void logRecovered(LotRecovery const& recovery);

  // Sealed lots: sealed_lots.cpp.
  /// Records that nothing is listed beyond what all holders have.
  Task<RecoveryOutcome> seal(LotRecord lot, Epoch epoch);
  /// Brings the holders of a sealed lot to what they should be. Its replicas never change, so that each intact one
  /// serves reads all the while.
  Task<RecoveryOutcome> replicateSealed(LotRecord lot, Epoch epoch);
  struct HolderConfirmations {
    vector<StoreRef> confirmed;    ///< hold it intact and synced
    vector<StoreRef> unreachable;  ///< may hold it
  };
  Task<HolderConfirmations> confirmSealedHolders(LotRecord lot);
  /// Leaves the fullest stores out, as far as the zones allow.
  vector<StoreRef> trimHolders(vector<StoreRef> holders, std::size_t count) const;

  // Retirement of stores: relying_lots.cpp.
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
  std::map<string, GenerationStamp> lastStamps_;  ///< given out by this process, by host
  LeaseGrants leases_{settings_.bounds.inTouch / 5, startedAt_};
  std::map<NodeId, StoreStatus> stores_;
  std::map<LotKey, LotStatus> lots_;
  std::map<LotKey, OpeningLot> opening_;
  std::map<string, Epoch> knownEpochs_;  ///< of owned keyspaces
  std::size_t recoveries_ = 0;
  RecoveryMetrics recoveryMetrics_;
  Counter refusedForRoom_ =
      metrics().counter("tealshelf_lots_refused_for_room_total", "Lots refused as the stores are full.");
  TimePoint lastRepeatedWarningAt_;  ///< when the log last repeated why a lot waits
  bool roomForSpares_ = true, mustTrimSpares_ = false;
  double neededCopyShare_ = 1;  ///< part of the copies that the records name that can't be given up
  LotAges ages_;
  std::map<string, TimePoint> excludedStores_;  ///< stores asked about before they go, since when they get nothing new
};

}  // namespace tealshelf
