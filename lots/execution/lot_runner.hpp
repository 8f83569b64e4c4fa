#pragma once
#include "duties/service_loads.hpp"
#include "lots/execution/lot_ages.hpp"
#include "lots/execution/lot_run.hpp"
#include "lots/messages.hpp"
#include "lots/replicas/replica_store.hpp"
#include "traffic/event_stream.hpp"
#include "traffic/exchange.hpp"
#include "traffic/load_balancer.hpp"
#include "traffic/warm_up_gate.hpp"

namespace tealshelf {

/// Runs the items of the lots that this store is primary of, lists their results once all holders have them, and
/// answers reads.
///
/// Runs on the io thread. Everything passed in must outlive it.
class LotRunner {
 public:
  LotRunner(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view, ReplicaStore& replicas);
  void start(RpcServer& server);
  void stop() { stopping_ = true; }
  /// True while this store may run items and answer reads.
  std::function<bool()> hasLease;

  /// Starts a lot, or goes on with it under the stamp that its replicas were settled to.
  void run(LotRecord const& lot);
  /// Ends a lot's run here; another store may be its primary now.
  void abandon(LotKey const& key);
  void setState(LotKey const& key, LotState state);
  /// Stops listing until the next record of the lot, or of each lot.
  void stall(LotKey const& key);
  void stallAll();
  LotRun const* find(LotKey const& key) const;
  /// Adds progress and failed holders of all runs to a heartbeat.
  void report(StoreHeartbeat& heartbeat) const;
  LotAges& ages() { return ages_; }
  /// Items under way at a worker.
  std::int64_t runningAt(string const& worker) const { return balancer_.runningAt(worker); }
  /// Items at workers and in queues, by service.
  vector<ServiceLoad> loads() const;
  /// Looks for items to start, as the workers or the configuration changed.
  void wake() { startItemsTimer_.cancel(); }

 private:
  using RunPtr = std::shared_ptr<LotRun>;
  /// Results of one lot that are being written to all holders.
  struct ResultBatch {
    RunPtr run;
    AppendResults::Part part;
    bool acceptedByAll = true;
  };
  /// What one holder is sent.
  struct HolderBatch {
    StoreRef holder;
    vector<std::size_t> batches;  ///< indexes
    std::optional<AppendResultsReply> reply;
  };

  // Items: item_execution.cpp.
  Task<void> startItemsLoop();
  /// Starts the most urgent queued item if a worker has room that others leave; false if none was started.
  bool startNextItem();
  /// The route that a lot came by, or null if it is gone.
  static Route const* routeOf(LotRecord const& lot, Configuration const& configuration);
  /// Slots of all workers that may run items of a route.
  std::uint64_t slotsOf(Route const& route) const;
  /// True if items of a lot can go to a worker, or are to be given up.
  bool canRunItems(LotRun const& run) const;
  RunPtr mostUrgentRun(TimePoint now) const;
  bool mayStartItem(LotRun const& next, TimePoint now) const;
  Task<void> runItem(RunPtr run, std::size_t index);
  /// One try at one worker; true once the item has its result.
  Task<bool> tryItem(RunPtr run, std::size_t index, EventStreamReader& events);
  /// The worker for an item: a warm one with room, or, if none of the service is warm and well, one that warms up.
  std::optional<Worker> pickWorker(PickRequest const& pick);
  Task<bool> readAnswer(RunPtr run, std::size_t index, Exchange& exchange, EventStreamReader& events,
                        std::uint64_t tries, TimePoint startedAt);
  void noteFailedSend(SendResult result, Exchange const& exchange, string const& worker);
  void finishItem(LotRun& run, std::size_t index, bool finished, string text);
  bool isActive(LotRun const& run) const { return !run.abandoned && !run.ended() && !stopping_; }
  /// Milliseconds until a lot is due, as far as that can be told; for urgency only.
  std::int64_t remainingTimeMs(LotRecord const& lot, TimePoint now) const;

  // Results: result_listing.cpp.
  Task<void> listResultsLoop();
  /// Writes unlisted results to every holder; what all have synced is listed. False if there was nothing to write.
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
  /// The run of a lot under a stamp; throws ErrorCode::staleStamp if this store may not answer for it.
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
  std::map<LotKey, RunPtr> runs_;
  std::size_t runningItems_ = 0;
  double meanItemMs_;  ///< how long an item runs, as seen lately
  bool stopping_ = false;
  asio::steady_timer startItemsTimer_, listResultsTimer_;
};

}  // namespace tealshelf
