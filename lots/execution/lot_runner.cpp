// Start, stop and progress reports of runs of lots.
#include "lots/execution/lot_runner.hpp"

namespace tealshelf {

LotRunner::LotRunner(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view,
                     ReplicaStore& replicas)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      view_(view),
      replicas_(replicas),
      pool_(io, settings),
      warmUps_(settings, rpc, view, pool_),
      balancer_(settings),
      meanItemMs_(static_cast<double>((8 * settings.bounds.step).count())),
      startItemsTimer_(io),
      listResultsTimer_(io) {}

void LotRunner::start(RpcServer& server) {
  server.on<ReadResults>([this](ReadResults request) { return readResults(std::move(request)); });
  server.on<ReadItem>([this](ReadItem request) { return readItem(std::move(request)); });
  spawnTask(io_, "item start loop", startItemsLoop());
  spawnTask(io_, "result listing loop", listResultsLoop());
  spawnTask(io_, "lot runner sweep loop", sweepLoop());
}

LotRun const* LotRunner::find(LotKey const& key) const {
  auto const run = runs_.find(key);
  return run == runs_.end() ? nullptr : run->second.get();
}

void LotRunner::run(LotRecord const& lot) {
  Replica const& replica = replicas_.table().read(lot.key(), lot.stamp);
  RunPtr& run = runs_[lot.key()];
  auto const loadItems = [&replica] { return deserialize<vector<ItemRecord>>(replica.items); };
  if (!run) {
    run = std::make_shared<LotRun>();
    run->items = ItemQueue(loadItems());
  }
  std::set<std::uint32_t> finished;
  for (string const& result : replica.results) finished.insert(deserialize<ResultRecord>(result).item);
  std::erase_if(run->unlistedResults,
                [&finished](ResultRecord const& result) { return finished.contains(result.item); });
  for (ResultRecord const& result : run->unlistedResults) finished.insert(result.item);
  run->items.restore(finished, loadItems);
  string const knownPrefix = run->lot.routePrefix;
  run->lot = lot;
  if (lot.routePrefix.empty()) run->lot.routePrefix = knownPrefix;
  identifyRoutes();
  run->listedResults = replica.results.size();
  run->stalled = false;
  run->needsSettlement = false;
  run->failedHolders.clear();
  run->wakeReaders();
  startItemsTimer_.cancel();
  listResultsTimer_.cancel();
}

void LotRunner::abandon(LotKey const& key) {
  auto const run = runs_.find(key);
  if (run == runs_.end()) return;
  run->second->abandoned = true;
  run->second->wakeReaders();
  runs_.erase(run);
}

void LotRunner::setState(LotKey const& key, LotState state) {
  auto const run = runs_.find(key);
  if (run == runs_.end()) return;
  run->second->lot.state = state;
  run->second->wakeReaders();
}

void LotRunner::stall(LotKey const& key) {
  auto const run = runs_.find(key);
  if (run != runs_.end()) run->second->stalled = true;
}

void LotRunner::stallAll() {
  for (auto& [key, run] : runs_) {
    run->stalled = true;
    replicas_.table().requireSettlement(key);
  }
}

void LotRunner::report(StoreHeartbeat& heartbeat) const {
  for (auto const& [key, run] : runs_) {
    LotRecord const& lot = run->lot;
    if (!run->abandoned)
      heartbeat.progress.push_back(
          {key.host, key.id, lot.stamp, run->items.doneTokens(), run->listedResults, run->isFinal()});
    for (NodeId const holder : run->failedHolders) heartbeat.failures.push_back({key.host, key.id, lot.stamp, holder});
    if (run->needsSettlement) heartbeat.failures.push_back({key.host, key.id, lot.stamp, replicas_.id()});
  }
}

void LotRunner::sampleMetrics() {
  TimePoint const now = Clock::now();
  std::shared_ptr<Configuration const> const configuration = view_.configuration();
  itemWaits_.beginSample();
  for (auto const& [key, run] : runs_) {
    if (run->ended()) continue;
    Route const* const route = configuration ? routeOf(*run, *configuration).route : nullptr;
    std::set<ItemWait> const waits = waitsOf(*run, route, [this](string const& service) { return slotsOf(service); });
    itemWaits_.count(waits, ages_.atLeast(key, now));
  }
  itemWaits_.endSample();
}

Task<void> LotRunner::sweepLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / 2);
    pool_.sweep(view_);
    balancer_.sweep(view_);
    warmUps_.sweep();
    logState();
  }
}

void LotRunner::logState() const {
  std::size_t queued = 0, running = 0, unlistedResults = 0, stalled = 0, incomplete = 0;
  for (auto const& [key, run] : runs_) {
    queued += run->items.queued().size();
    running += run->items.running();
    unlistedResults += run->unlistedResults.size();
    stalled += run->stalled;
    incomplete += run->listedResults < run->items.size();
  }
  if (!incomplete) return;
  logDebug("lots", std::to_string(incomplete) + " incomplete lots, " + std::to_string(stalled) +
                       " stalled; items: queued " + std::to_string(queued) + ", running " + std::to_string(running) +
                       ", unlisted " + std::to_string(unlistedResults) + ", mean run time " +
                       std::to_string(static_cast<int>(meanItemMs_)) + " ms; has lease: " + std::to_string(hasLease()));
}

}  // namespace tealshelf
