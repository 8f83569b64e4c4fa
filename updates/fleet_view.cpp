#include "updates/fleet_view.hpp"

#include "updates/relay_topology.hpp"

namespace tealshelf {

namespace {
constexpr string_view workerPrefix = "w/";  ///< of the keys of workers

vector<Address> controlSeeds(Settings const& settings) {
  vector<Address> seeds;
  for (Address const& seed : settings.seeds) seeds.push_back(settings.controlAddress(seed.ip));
  return seeds;
}

DataNode selfOf(Settings const& settings, string role, Address address) {
  double const cores = settings.cpuFraction * static_cast<double>(settings.cpuCores);
  return DataNode{settings.nodeName, settings.zone, std::move(role), std::move(address),
                  static_cast<std::uint32_t>(1000 * cores)};
}
}  // namespace

FleetView::FleetView(asio::io_context& io, Settings const& settings, RpcClient& rpc, string role, Address address)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      publisher_(io, settings, 2 * RelayTopology::fanOut),
      subscriber_(
          selfOf(settings, std::move(role), std::move(address)), UpdateSubscriber::Timeouts::of(settings.bounds),
          controlSeeds(settings), [&settings](string const& ip) { return settings.controlAddress(ip); }, publisher_) {
  publisher_.proof = [this] { return subscriber_.proof(Clock::now()); };
  subscriber_.onRow = [this](TableRow const& row) { applyRow(row); };
}

void FleetView::start(RpcServer& server) {
  server.on<UpdateRequest>([this](UpdateRequest request) { return publisher_.serve(std::move(request)); });
  spawnTask(io_, "updates", updateLoop());
}

void FleetView::applyRow(TableRow const& row) {
  if (!row.key.starts_with(workerPrefix)) return;
  ++revision_;
  string const id = row.key.substr(workerPrefix.size());
  if (row.removed)
    workers_.erase(id);
  else
    workers_[id] = deserialize<Worker>(row.value);
}

void FleetView::installConfiguration() {
  try {
    configuration_ = compileConfiguration(publisher_.configuration());
  } catch (Error const& error) {
    logWarning("updates", error.what());
  }
}

Task<bool> FleetView::carryOut(UpdateSubscriber::Plan plan) {
  TimePoint const sentAt = Clock::now();
  ++requestsSent_;
  if (sentAt - talliesSentAt_ >= settings_.bounds.inTouch / 32) {
    plan.request.tallies = publisher_.takeTallies();
    talliesSentAt_ = sentAt;
  }
  UpdateReply reply;
  try {
    reply = co_await rpc_.call(plan.source, plan.request, plan.limit);
  } catch (Error const&) {
    publisher_.addTallies(plan.request.tallies);
    throw;
  }
  std::uint64_t const versionBefore = publisher_.configurationVersion();
  bool const good = subscriber_.receive(plan, reply, sentAt, Clock::now());
  bool const newConfiguration = publisher_.configurationVersion() > versionBefore;
  if (newConfiguration) installConfiguration();
  bool const hasUpdates = newConfiguration || !reply.common.empty() || !reply.zone.empty();
  if (good && hasUpdates && publisher_.heldRequests()) publisher_.notifyAfter(Ms(0));
  if (onUpdate && hasUpdates) onUpdate();
  // A source that answers early with nothing must not be asked in a tight loop.
  bool const emptyAndEarly = !hasUpdates && !reply.wantsNodes && Ms(reply.heldMs) < plan.hold / 2;
  if (good && emptyAndEarly) co_await sleepFor(settings_.bounds.inTouch / 200);
  co_return good;
}

Task<void> FleetView::askFirst(Address control) {
  askedFirst_.insert(control);
  try {
    co_await carryOut(subscriber_.firstPlan(control, Clock::now()));
  } catch (Error const& error) {
    logDebug("updates", error.what());
  }
  askedFirst_.erase(control);
}

Task<void> FleetView::getFirstConfiguration() {
  while (!configuration_) {
    vector<Address> const controls = controlAddresses();
    for (Address const& control : controls) {
      if (configuration_) break;
      if (askedFirst_.contains(control)) continue;
      spawnTask(io_, "first updates", askFirst(control));
      co_await sleepFor(settings_.bounds.inTouch / 200);
    }
    co_await sleepFor(settings_.bounds.inTouch / 100);
  }
}

Task<void> FleetView::updateLoop() {
  co_await getFirstConfiguration();
  for (;;) {
    if (subscriber_.allSourcesRest(Clock::now())) co_await sleepFor(settings_.bounds.inTouch / 60);
    UpdateSubscriber::Plan const plan = subscriber_.plan(Clock::now());
    try {
      co_await carryOut(plan);
    } catch (Error const& error) {
      logDebug("updates", error.what());
      subscriber_.noteFailed(plan.source, Clock::now());
    }
  }
}

void FleetView::tally(string const& worker, bool succeeded) {
  publisher_.addTallies({WorkerTally{worker, succeeded ? 1.0 : 0.0, succeeded ? 0.0 : 1.0}});
}

FleetView::Counts FleetView::counts() const {
  return {requestsSent_, publisher_.repliesSent(), publisher_.bytesSent(), publisher_.heldRequests()};
}

vector<Worker const*> const& FleetView::workersOf(string const& service) const {
  if (workersByServiceRevision_ != revision_) {
    workersByService_.clear();
    workersByServiceRevision_ = revision_;
  }
  auto const known = workersByService_.find(service);
  if (known != workersByService_.end()) return known->second;
  vector<Worker const*>& workers = workersByService_[service];
  for (auto const& [id, worker] : workers_)
    if (worker.service == service && !worker.draining && !worker.removed) workers.push_back(&worker);
  return workers;
}

Worker const* FleetView::find(string const& id) const {
  auto const worker = workers_.find(id);
  return worker == workers_.end() ? nullptr : &worker->second;
}

}  // namespace tealshelf
