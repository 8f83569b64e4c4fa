#include "updates/fleet_view.hpp"

#include "updates/relay_topology.hpp"

namespace tealshelf {

namespace {
/// First requests in flight at once; bounded, as each reply may hold all tables.
constexpr std::size_t maxFirstRequests = 4;

vector<Address> controlSeeds(Settings const& settings) {
  vector<Address> seeds;
  for (Address const& seed : settings.seeds) seeds.push_back(settings.controlAddress(seed.ip));
  return seeds;
}

DataNode selfOf(Settings const& settings, string role, Address address) {
  double const cores = settings.cpuFraction * static_cast<double>(settings.cpuCores);
  return DataNode{settings.nodeName,
                  settings.zone,
                  std::move(role),
                  std::move(address),
                  static_cast<std::uint32_t>(1000 * cores),
                  0,
                  0};
}
}  // namespace

FleetView::FleetView(asio::io_context& io, Settings const& settings, RpcClient& rpc, string role, Address address)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      publisher_(io, settings, 2 * RelayTopology::fanOut),
      subscriber_(
          selfOf(settings, std::move(role), std::move(address)), UpdateSubscriber::Timeouts::of(settings.bounds),
          controlSeeds(settings), [&settings](string const& ip) { return settings.controlAddress(ip); }, publisher_),
      firstReplyTimer_(io) {
  publisher_.proof = [this] { return subscriber_.proof(Clock::now()); };
  subscriber_.onRow = [this](TableRow const& row) { applyRow(row); };
  subscriber_.updateSelf = [this](DataNode& self) { confirmRollouts(self); };
  subscriber_.needsShortPolls = [this] { return awaitsConfirmations(); };
}

void FleetView::start(RpcServer& server) {
  server.on<UpdateRequest>([this](UpdateRequest request) { return publisher_.serve(std::move(request)); });
  spawnTask(io_, "updates", updateLoop());
}

void FleetView::applyRow(TableRow const& row) {
  if (row.key.starts_with(rolloutRowPrefix)) applyRollout(row);
  if (row.key.starts_with(evacuationRowPrefix)) applyEvacuation(row);
  if (!row.key.starts_with(workerRowPrefix)) return;
  ++revision_;
  string const id = row.key.substr(workerRowPrefix.size());
  if (row.removed)
    workers_.erase(id);
  else
    workers_[id] = deserialize<Worker>(row.value);
}

void FleetView::installConfiguration() {
  try {
    configuration_ = compileConfiguration(publisher_.configuration());
    // The configuration determines which services have a warm-up.
    ++revision_;
  } catch (Error const& error) {
    logWarning("updates", "configuration version " + std::to_string(publisher_.configurationVersion()) +
                              " was received but can't be used: " + error.what());
  }
}

Task<bool> FleetView::executePlan(UpdateSubscriber::Plan plan) {
  TimePoint const sentAt = Clock::now();
  ++requestsSent_;
  if (sentAt - lastTalliesSentAt_ >= settings_.bounds.inTouch / 32) {
    plan.request.tallies = publisher_.takeTallies();
    plan.request.versionTallies = publisher_.takeVersionTallies();
    lastTalliesSentAt_ = sentAt;
  }
  UpdateReply reply;
  try {
    reply = co_await rpc_.call(plan.source, plan.request, plan.timeout);
  } catch (Error const&) {
    publisher_.addTallies(plan.request.tallies);
    publisher_.addVersionTallies(plan.request.versionTallies);
    throw;
  }
  std::uint64_t const versionBefore = publisher_.configurationVersion();
  bool const accepted = subscriber_.receive(plan, reply, sentAt, Clock::now());
  bool const newConfiguration = publisher_.configurationVersion() > versionBefore;
  if (newConfiguration) installConfiguration();
  bool const hasUpdates = newConfiguration || !reply.common.empty() || !reply.zone.empty();
  if (accepted && hasUpdates && publisher_.heldRequests()) publisher_.notifyAfter(Ms(0));
  if (onUpdate && hasUpdates) onUpdate();
  // Don't poll in a tight loop a source that answers early without updates.
  bool const isEmpty = !hasUpdates && !reply.wantsNodes && !plan.request.isIntroduction;
  bool const emptyAndEarly = isEmpty && Ms(reply.heldMs) < plan.hold / 2;
  if (accepted && emptyAndEarly) co_await sleepFor(settings_.bounds.inTouch / 200);
  co_return accepted;
}

Task<void> FleetView::sendFirstRequest(Address source) {
  firstRequestSources_.insert(source);
  try {
    co_await executePlan(subscriber_.firstPlan(source, Clock::now()));
  } catch (Error const& error) {
    logDebug("updates", "first request for updates to " + source.text() + " failed: " + error.what());
    subscriber_.noteFailed(source, Clock::now());
  }
  firstRequestSources_.erase(source);
  firstReplyTimer_.cancel();
}

Task<void> FleetView::waitForFirstReply(Ms limit) {
  firstReplyTimer_.expires_after(limit);
  error_code ignored;
  co_await firstReplyTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Task<void> FleetView::fetchFirstConfiguration() {
  while (!configuration_) {
    bool const introduced = subscriber_.isIntroduced();
    vector<Address> const sources = subscriber_.firstSources(Clock::now());
    for (Address const& source : sources) {
      if (configuration_ || subscriber_.isIntroduced() != introduced) break;
      if (firstRequestSources_.contains(source) || firstRequestSources_.size() >= maxFirstRequests) continue;
      spawnTask(io_, "first updates", sendFirstRequest(source));
      // An introduction is small, so another source is asked soon; full tables are requested twice only after a delay.
      co_await waitForFirstReply(settings_.bounds.inTouch / (introduced ? 50 : 200));
    }
    // Don't retry in a tight loop sources that fail immediately.
    bool const noProgress = !configuration_ && subscriber_.isIntroduced() == introduced;
    if (noProgress) co_await sleepFor(settings_.bounds.inTouch / 100);
  }
}

Task<void> FleetView::updateLoop() {
  co_await fetchFirstConfiguration();
  for (;;) {
    if (subscriber_.allSourcesBackingOff(Clock::now())) co_await sleepFor(settings_.bounds.inTouch / 60);
    UpdateSubscriber::Plan const plan = subscriber_.plan(Clock::now());
    try {
      co_await executePlan(plan);
    } catch (Error const& error) {
      logDebug("updates", "request for updates to " + plan.source.text() + " failed: " + error.what());
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

bool FleetView::takesRequests(Worker const& worker) const {
  auto const evacuation = evacuations_.find(worker.zone);
  bool const isEvacuated = evacuation != evacuations_.end() && evacuation->second.isActive;
  return !worker.draining && !worker.removed && !isEvacuated;
}

FleetView::WarmUp FleetView::warmUpOf(Worker const& worker) const {
  if (!configuration_) return {};
  auto const service = configuration_->services.find(worker.service);
  bool const isBounded = service != configuration_->services.end() && service->second.warmsUp();
  if (!isBounded) return {};
  auto const evacuation = evacuations_.find(worker.zone);
  Evacuation const* const order = evacuation == evacuations_.end() ? nullptr : &evacuation->second;
  return {&service->second, mayBeWarmingUp(worker, order)};
}

VersionGroups const& FleetView::groupsOf(string const& service) const {
  if (groupsRevision_ != revision_) {
    groupsByService_.clear();
    groupsRevision_ = revision_;
  }
  auto const known = groupsByService_.find(service);
  if (known != groupsByService_.end()) return known->second;
  vector<Worker const*> workers;
  for (auto const& [id, worker] : workers_)
    if (worker.service == service && takesRequests(worker)) workers.push_back(&worker);
  auto const rollout = rollouts_.find(service);
  NoRolloutPolicy const unordered =
      settings_.isRuleInForce("rollout") ? NoRolloutPolicy::majorityServes : NoRolloutPolicy::allServe;
  RolloutRecord const* const record = rollout == rollouts_.end() ? nullptr : &rollout->second;
  return groupsByService_[service] = groupByVersion(workers, record, unordered);
}

RolloutRecord const* FleetView::activeRollout(string const& service) const {
  auto const rollout = rollouts_.find(service);
  return rollout == rollouts_.end() || !rollout->second.isServing() ? nullptr : &rollout->second;
}

void FleetView::tallyVersion(Worker const& worker, Route const& route, VersionTally outcome) {
  RolloutRecord const* const rollout = activeRollout(worker.service);
  if (!rollout) return;
  outcome.order = rollout->order;
  outcome.service = worker.service;
  outcome.route = route.id();
  outcome.isTarget = worker.version == rollout->target;
  publisher_.addVersionTallies({outcome});
}

void FleetView::applyRollout(TableRow const& row) {
  // Records of rollouts are never removed, and an older revision never replaces a newer one.
  if (row.removed) return;
  RolloutRecord const record = deserialize<RolloutRecord>(row.value);
  RolloutRecord& known = rollouts_[record.service];
  if (record.revision <= known.revision) return;
  known = record;
  rolloutRevision_ = std::max(rolloutRevision_, record.revision);
  ++revision_;
}

void FleetView::applyEvacuation(TableRow const& row) {
  if (row.removed) return;
  Evacuation const record = deserialize<Evacuation>(row.value);
  Evacuation& known = evacuations_[record.zone];
  if (record.revision <= known.revision) return;
  known = record;
  ++revision_;
}

bool FleetView::hasRequestsAtExcludedVersion() const {
  for (auto const& [id, worker] : workers_) {
    auto const rollout = rollouts_.find(worker.service);
    if (rollout == rollouts_.end() || isAdmitted(rollout->second, worker.version)) continue;
    if (runningAt && runningAt(id) > 0) return true;
  }
  return false;
}

void FleetView::confirmRollouts(DataNode& self) const {
  if (self.rolloutDrained == rolloutRevision_) return;
  self.rolloutConfirmed = rolloutRevision_;
  if (!hasRequestsAtExcludedVersion()) self.rolloutDrained = rolloutRevision_;
}

bool FleetView::awaitsConfirmations() const {
  return std::any_of(rollouts_.begin(), rollouts_.end(),
                     [](auto const& item) { return item.second.isServing() && item.second.servesOnlyTarget(); });
}

vector<Member> FleetView::members() const {
  vector<Member> members;
  for (auto const& [key, member] : subscriber_.members()) members.push_back(member);
  return members;
}

Worker const* FleetView::find(string const& id) const {
  auto const worker = workers_.find(id);
  return worker == workers_.end() ? nullptr : &worker->second;
}

}  // namespace tealshelf
