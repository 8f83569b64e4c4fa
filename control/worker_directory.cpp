#include "control/worker_directory.hpp"

#include "control/call_input.hpp"
#include "workers/worker_heartbeat.hpp"

namespace tealshelf {

namespace {
/// Fraction of the disk's space that the log of workers may use.
constexpr double logShare = 0.15;

/// Consecutive heartbeats with a different registry before the difference is fetched: changes that are being spread
/// make registries differ for a moment.
constexpr int maxMismatches = 2;
}  // namespace

WorkerDirectory::WorkerDirectory(asio::io_context& io, Settings const& settings, RpcClient& rpc,
                                 ConsensusDriver& driver, UpdatePublisher& publisher)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      driver_(driver),
      publisher_(publisher),
      registry_(3 * settings.reportEvery, driver.consensus().self().id),
      outliers_(settings.bounds.inTouch / 4, OutlierDetector::Thresholds()) {
  if (!settings.dataFolder.empty()) replayLog();
}

void WorkerDirectory::replayLog() {
  log_ = std::make_unique<DurableLog>(io_, settings_.dataFolder + "/workers", diskLimits(settings_, logShare), [this] {
    vector<string> records;
    for (Worker const& worker : registry_.present()) records.push_back(serialize(worker));
    return records;
  });
  for (string const& record : log_->recovered().records) registry_.merge(deserialize<Worker>(record), Clock::now());
  registry_.takeTransitions();
  recordedRevision_ = registry_.revision();
  log_->releaseRecovered();
}

void WorkerDirectory::recordChanges() {
  if (!log_) return;
  for (Worker const& worker : registry_.present(recordedRevision_)) log_->append(serialize(worker));
  recordedRevision_ = registry_.revision();
  log_->flush();
}

void WorkerDirectory::publishRows() {
  recordChanges();
  for (Worker const& worker : registry_.changedSince(publishedRevision_)) {
    if (worker.removed)
      publisher_.common.erase(string(workerRowPrefix) + worker.id);
    else
      publisher_.common.put(string(workerRowPrefix) + worker.id, serialize(publishedForm(worker)));
  }
  publishedRevision_ = registry_.revision();
}

bool WorkerDirectory::isComplete() const {
  bool const majorityMerged = registry_.size() && mergedFrom_.size() + 1 >= driver_.consensus().membership().quorum();
  return majorityMerged || Clock::now() - startedAt_ > settings_.reportEvery * 3 / 2;
}

Worker WorkerDirectory::workerFrom(ForwardedCall const& call, string const& id) const {
  Worker worker;
  if (call.verb == "PUT") {
    worker = parseWorkerHeartbeat(id, call.body);
    if (evacuationRevision) worker.evacuationRevision = evacuationRevision(worker.zone);
  } else {
    if (Worker const* const known = registry_.find(id)) worker = *known;
    worker.id = id;
    worker.removed = true;
  }
  worker.registrar = self();
  return worker;
}

Task<CallReply> WorkerDirectory::handle(ForwardedCall call) {
  string const id = idInPath(call.path, "/servers/");
  if (call.verb != "PUT" && call.verb != "DELETE") throw Error(ErrorCode::methodNotAllowed);
  if (!driver_.inContactWithMajority()) throw Error(ErrorCode::notReady);
  Worker const worker = workerFrom(call, id);
  bool const leaves = worker.draining || worker.removed;
  bool const changed = registry_.merge(worker, Clock::now());
  if (changed) onChange();
  if (leaves)
    co_await notifyMajority(*registry_.find(id));
  else if (changed)
    notifyPeers(*registry_.find(id));
  // Also if nothing changed: the state may have come from another node and not be synced to this disk yet.
  if (log_ && leaves) co_await log_->waitSynced();
  std::optional<Address> const reportTo = worker.removed || stopping_ ? std::nullopt : registrarFor(worker);
  co_return CallReply{200, reportTo ? "{\"reportTo\":\"" + reportTo->text() + "\"}" : "{}"};
}

std::shared_ptr<WorkerDirectory::PeerReplies> WorkerDirectory::notifyPeers(Worker worker) {
  TimePoint const now = Clock::now();
  Consensus const& consensus = driver_.consensus();
  HeartbeatMessage message;
  message.heartbeat = consensus.heartbeat(now);
  message.heartbeat.holdsAllKeys = message.heartbeat.holdsAllKeys && !stopping_;
  message.workers = {std::move(worker)};
  Ms const limit = settings_.bounds.drain / 5;
  std::shared_ptr<PeerReplies> const replies = std::make_shared<PeerReplies>(io_, limit);
  for (Member const& member : consensus.membership().members) {
    if (member.id == self() || !consensus.isAlive(member.id, now)) continue;
    ++replies->outstanding;
    asio::co_spawn(io_, rpc_.call(settings_.controlAddress(member.ip), message, limit),
                   [replies](std::exception_ptr failure, HeartbeatReply) {
                     if (!failure) ++replies->acknowledged;
                     if (!--replies->outstanding) replies->timer.cancel();
                   });
  }
  return replies;
}

/// Control nodes that serve the data plane are in contact with a majority, so at least one node of it knows of the
/// worker even if this node fails.
Task<void> WorkerDirectory::notifyMajority(Worker worker) {
  std::shared_ptr<PeerReplies> const replies = notifyPeers(std::move(worker));
  error_code ignored;
  if (replies->outstanding) co_await replies->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  Membership const& membership = driver_.consensus().membership();
  std::size_t const informed = replies->acknowledged + (membership.find(self()) ? 1 : 0);
  if (informed < membership.quorum())
    throw Error(ErrorCode::notReady, "no majority acknowledged that the worker leaves");
}

std::optional<Address> WorkerDirectory::registrarFor(Worker const& worker) const {
  TimePoint const now = Clock::now();
  std::optional<Address> best;
  std::pair<bool, std::uint64_t> bestRank;
  for (Member const& member : driver_.consensus().membership().members) {
    if (member.id != self() && !driver_.consensus().isReady(member.id, now)) continue;
    std::uint64_t const hash = hash64(hex(member.id.value), hash64(worker.id));
    std::pair<bool, std::uint64_t> const rank(member.zone == worker.zone, hash);
    if (best && rank <= bestRank) continue;
    best = Address{member.ip, settings_.control.port};
    bestRank = rank;
  }
  return best;
}

bool WorkerDirectory::receive(HeartbeatMessage const& message, TimePoint now) {
  NodeId const from = message.heartbeat.sender.id;
  bool changed = false;
  registry_.noteRegistrarAlive(from, now);
  if (message.wholeRegistry)
    changed = registry_.mergeAll(message.workers, from, now);
  else
    for (Worker const& worker : message.workers) changed = registry_.merge(worker, now) || changed;
  if (message.wholeRegistry || matchesRegistryOf(message)) {
    mismatches_.erase(from);
    changed = mergedFrom_.insert(from).second || changed;
  } else if (message.registryDigest) {
    handleMismatch(message.heartbeat.sender, now);
  }
  outliers_.receiveReport(from, message.tallies, now);
  return changed;
}

bool WorkerDirectory::matchesRegistryOf(HeartbeatMessage const& message) const {
  return message.registryDigest == registry_.digest().total();
}

void WorkerDirectory::handleMismatch(Member const& sender, TimePoint now) {
  // A starting node fetches at once, from one node after the other; later an occasional fetch repairs lost updates.
  bool const isStarting = !isComplete();
  int const mismatches = ++mismatches_[sender.id];
  bool const recentlyFetched = now - fetchedAt_ < 4 * driver_.heartbeatPeriod();
  if (fetching_ || (!isStarting && (recentlyFetched || mismatches < maxMismatches))) return;
  mismatches_.erase(sender.id);
  fetching_ = true;
  spawnTask(io_, "registry", fetchDifference(sender));
}

Task<void> WorkerDirectory::fetchDifference(Member sender) {
  CompareRegistry const request{registry_.digest().buckets()};
  RegistryDifference difference;
  TimePoint const requestedAt = Clock::now();
  bool succeeded = true;
  try {
    difference = co_await rpc_.call(settings_.controlAddress(sender.ip), request, settings_.bounds.inTouch / 4);
  } catch (Error const& error) {
    logDebug("workers", "can't fetch the registry of workers from " + sender.ip + ": " + error.what());
    succeeded = false;
  }
  TimePoint const now = Clock::now();
  fetching_ = false;
  fetchedAt_ = now;
  if (!succeeded) co_return;
  bool changed = false;
  if (difference.isComplete) {
    std::set<std::uint32_t> const buckets(difference.buckets.begin(), difference.buckets.end());
    changed = registry_.mergeBuckets(difference.workers, buckets, sender.id, requestedAt, now);
    changed = mergedFrom_.insert(sender.id).second || changed;
  } else {
    for (Worker const& worker : difference.workers) changed = registry_.merge(worker, now) || changed;
  }
  if (changed) onChange();
}

std::map<string, RateAllowance> WorkerDirectory::warmUpLimits(Configuration const& configuration) const {
  std::map<string, RateAllowance> allowances;
  for (auto const& [name, service] : configuration.services) {
    RateAllowance const allowance = warmUpAllowance(service, settings_.bounds);
    if (service.warmsUp() && grantsAnything(allowance)) allowances[name] = allowance;
  }
  std::map<string, RateAllowance> limits;
  // Most deployments set no limits, and this runs at each change of a worker.
  if (allowances.empty()) return limits;
  registry_.forEachPresent([&](Worker const& worker) {
    auto const allowance = allowances.find(worker.service);
    if (allowance == allowances.end()) return;
    bool const mayBeCold =
        worker.warmingUp || (evacuationRevision && worker.evacuationRevision < evacuationRevision(worker.zone));
    if (mayBeCold) limits[worker.id] = allowance->second;
  });
  return limits;
}

std::map<string, std::size_t> WorkerDirectory::versionsOf(string const& service) const {
  std::map<string, std::size_t> versions;
  for (Worker const& worker : registry_.present())
    if (worker.service == service && !worker.draining && !worker.removed) ++versions[worker.version];
  return versions;
}

std::map<string, WorkerDirectory::ZoneCount> WorkerDirectory::zonesOf(string const& service) const {
  std::map<string, ZoneCount> zones;
  registry_.forEachPresent([&](Worker const& worker) {
    if (worker.service != service || worker.draining) return;
    ++zones[worker.zone].workers;
    zones[worker.zone].slots += worker.capacity;
  });
  return zones;
}

RegistryDifference WorkerDirectory::differenceFor(CompareRegistry const& request) const {
  std::set<std::uint32_t> const buckets = registry_.digest().differingFrom(request.buckets);
  RegistryDifference difference;
  // An empty registry is complete only once all live workers had time to send a heartbeat.
  difference.isComplete = registry_.size() || isComplete();
  difference.buckets.assign(buckets.begin(), buckets.end());
  difference.workers = registry_.presentIn(buckets);
  return difference;
}

void WorkerDirectory::fillHeartbeat(HeartbeatMessage& message, bool isExtra) {
  TimePoint const now = Clock::now();
  if (!isExtra) message.workers = registry_.takeTransitions();
  outliers_.record(publisher_.takeTallies(), now);
  message.tallies = outliers_.report(now);
  message.registryDigest = registry_.digest().total();
}

bool WorkerDirectory::evaluateOutliers() {
  TimePoint const now = Clock::now();
  outliers_.record(publisher_.takeTallies(), now);
  vector<OutlierDetector::EjectionChange> const changes = outliers_.evaluate(registry_.present(), self(), now);
  for (OutlierDetector::EjectionChange const& change : changes) {
    registry_.setEjected(change.worker, change.ejected);
    string const what =
        change.ejected ? " is ejected: it fails more than other workers of its service" : " is no longer ejected";
    logInfo("workers", "worker " + change.worker + what);
  }
  return !changes.empty();
}

}  // namespace tealshelf
