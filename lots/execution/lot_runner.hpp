#pragma once
#include "duties/service_loads.hpp"
#include "lots/execution/give_up_rule.hpp"
#include "lots/execution/item_waits.hpp"
#include "lots/execution/lot_ages.hpp"
#include "lots/execution/lot_route.hpp"
#include "lots/execution/lot_run.hpp"
#include "lots/messages.hpp"
#include "lots/replicas/replica_store.hpp"
#include "traffic/event_stream.hpp"
#include "traffic/exchange.hpp"
#include "traffic/load_balancer.hpp"
#include "traffic/warm_up_gate.hpp"

namespace tealshelf {

/// Runs the items of the lots whose primary this store is, lists their results once all holders have synced them, and
/// answers reads.
///
/// Runs on the io thread. The constructor's arguments must outlive it.
class LotRunner {
 public:
  LotRunner(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view, ReplicaStore& replicas);
  void start(RpcServer& server);
  void stop() { stopping_ = true; }
  /// True while this store holds its lease, and so may run items and answer reads as primary.
  std::function<bool()> hasLease;

  /// Starts a lot, or resumes it under the stamp under which its replicas were settled.
  void run(LotRecord const& lot);
  /// Ends a lot's run at this store; another store may be its primary now.
  void abandon(LotKey const& key);
  void setState(LotKey const& key, LotState state);
  /// Stalls one run, or all, until the coordinator sends a new record of the lot.
  void stall(LotKey const& key);
  void stallAll();
  LotRun const* find(LotKey const& key) const;
  /// Updates the metrics of items that haven't ended.
  void sampleMetrics();
  /// Adds progress and failed holders of all runs to a heartbeat.
  void report(StoreHeartbeat& heartbeat) const;
  LotAges& ages() { return ages_; }
  /// Number of this store's items running at a worker.
  std::int64_t runningAt(string const& worker) const { return balancer_.runningAt(worker); }
  /// RunningLog and queued items by service.
  vector<ServiceLoad> loads() const;
  /// Starts items that can run now; called after a change of workers or configuration.
  void wake() {
    identifyRoutes();
    startItemsTimer_.cancel();
  }

 private:
  using RunPtr = std::shared_ptr<LotRun>;
  /// Results of one lot that are being appended at all holders.
  struct ResultBatch {
    RunPtr run;
    AppendResults::Part part;
    bool acceptedByAll = true;
  };
  /// The batches appended at one holder by one call.
  struct HolderBatch {
    StoreRef holder;
    vector<std::size_t> batches;  ///< indexes of result batches
    std::optional<AppendResultsReply> reply;
  };

  // Execution of items: item_execution.cpp.
  Task<void> startItemsLoop();
  /// Gives up the queued items that may be given up, and starts as many others as may run.
  void startItems();
  /// Starts the item that nextItem() chooses; false if there is none.
  bool startNextItem(TimePoint now);
  /// The route that a lot was submitted to.
  static LotRoute routeOf(LotRun const& run, Configuration const& configuration);
  /// Adds the prefix of the route to records of older releases.
  void identifyRoutes();
  GiveUpReason giveUpReasonOf(LotRun const& run, TimePoint now) const;
  /// Gives up queued items where they lie, as this needs no worker.
  void giveUpItems(TimePoint now);
  std::uint64_t slotsOf(string const& service) const;
  /// True if a running item may be sent to a worker, or sent again.
  bool mayTry(LotRun const& run, ItemClaim claim) const;
  Task<void> runItem(RunPtr run, ItemClaim claim);
  /// Sends an item to one worker; true once the item has its result.
  Task<bool> tryItem(RunPtr run, ItemClaim claim, EventStreamReader& events);
  /// Picks a worker for an item: a warm one with free capacity or, if the service has no warm healthy worker, one that
  /// is warming up.
  std::optional<Worker> pickWorker(PickRequest const& pick);
  /// Reads a response to its end; true once the item has its result. The route is the one that the item was sent under;
  /// the caller keeps its configuration.
  Task<bool> readAnswer(RunPtr run, ItemClaim claim, Exchange& exchange, EventStreamReader& events, Route const& route,
                        TimePoint startedAt);
  /// Notes that a worker failed an item. Items in flight at a worker fail together: while it is avoided for the first
  /// of them the others don't count, so that it isn't avoided for long once it works again.
  void noteFailure(Worker const& worker, bool unreachable);
  void noteFailedSend(SendResult result, Exchange const& exchange, string const& worker);
  void finishItem(LotRun& run, ItemClaim claim, bool finished, string text);
  bool isActive(LotRun const& run) const { return !run.abandoned && !run.ended() && !stopping_; }
  /// Estimated milliseconds until a lot is due; for scheduling by urgency only.
  std::int64_t remainingTimeMs(LotRecord const& lot, TimePoint now) const;

  // Listing and reading of results: result_listing.cpp.
  Task<void> listResultsLoop();
  /// Appends unlisted results at all holders, and lists those that all have synced. False if there were none.
  Task<bool> listResults();
  vector<ResultBatch> collectBatches();
  std::map<NodeId, HolderBatch> groupByHolder(vector<ResultBatch> const& batches) const;
  /// False if this store's own disk failed.
  Task<bool> appendToHolders(vector<ResultBatch>& batches);
  void listBatch(ResultBatch& batch, bool ownDiskFailed);
  Task<ReadResultsReply> readResults(ReadResults request);
  ReadResultsReply readSealed(ReadResults const& request) const;
  ReadResultsReply resultsFrom(LotRun const& run, Replica const& replica, ReadResults const& request) const;
  Task<ReadItemReply> readItem(ReadItem request);
  /// The run of a lot under a stamp; throws ErrorCode::staleStamp if there is none or this store has no lease.
  RunPtr requireRun(LotKey const& key, GenerationStamp stamp) const;

  Task<void> sweepLoop();
  void logState() const;

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  FleetView& view_;
  ReplicaStore& replicas_;
  ConnectionPool pool_;
  WarmUpGate warmUps_;
  LoadBalancer balancer_;
  LotAges ages_;
  ItemWaitMetrics itemWaits_;
  std::map<LotKey, RunPtr> runs_;
  double meanItemMs_;  ///< moving average of the run time of an item
  bool stopping_ = false;
  asio::steady_timer startItemsTimer_, listResultsTimer_;
};

}  // namespace tealshelf
