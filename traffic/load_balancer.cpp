#include "traffic/load_balancer.hpp"

namespace tealshelf {

namespace {
/// Prefill of each `costUnitTokens` tokens costs as much as `costPerUnit` of load.
constexpr double costUnitTokens = 1024;
constexpr double costPerUnit = 0.25;
/// Workers sampled at random before all are compared.
constexpr int randomSamples = 3;
constexpr int maxWorkerFailures = 5;
/// Weight of one worker's report in the moving average of its service's load.
constexpr double newReportWeight = 0.125;
/// A worker is avoided after this many consecutive failures of any kind.
constexpr int failuresUntilAvoided = 2;

/// With fewer other zones a node can't tell on which side of a partition it is.
constexpr std::size_t minZonesForPartition = 2;

double costOfTokens(double tokens) {
  return costPerUnit * tokens / costUnitTokens;
}

/// Rank of a worker for a session, in rendezvous hashing.
std::uint64_t rendezvousRank(std::uint64_t workerHash, std::uint64_t sessionKey) {
  std::uint64_t hash = (workerHash ^ sessionKey) * 0x9e3779b97f4a7c15ull;
  hash ^= hash >> 29;
  hash *= 0xbf58476d1ce4e5b9ull;
  return hash ^ (hash >> 32);
}
}  // namespace

void LoadBalancer::requestStarted(string const& worker, std::uint64_t prefillTokens) {
  WorkerState& state = workers_[worker];
  ++state.ownRequests;
  ++state.ownSinceReport;
  ++state.prefillRequests;
  state.prefillTokens += static_cast<std::int64_t>(prefillTokens);
}

void LoadBalancer::prefillFinished(string const& worker, std::uint64_t prefillTokens) {
  WorkerState& state = workers_[worker];
  --state.prefillRequests;
  state.prefillTokens -= static_cast<std::int64_t>(prefillTokens);
}

void LoadBalancer::requestEnded(string const& worker) {
  WorkerState& state = workers_[worker];
  --state.ownRequests;
  --state.ownSinceReport;
}

void LoadBalancer::reportLoad(Worker const& worker, WorkerLoad const& load) {
  WorkerState& state = workers_[worker.id];
  state.reportedRequests = static_cast<std::int64_t>(load.running + load.waiting);
  state.reportedWaiting = static_cast<std::int64_t>(load.waiting);
  state.ownSinceReport = 0;
  state.reportedAt = Clock::now();
  if (worker.warmingUp) return;
  double const reported = static_cast<double>(state.reportedRequests) / static_cast<double>(worker.capacity);
  MeanLoad& service = serviceLoads_[worker.service];
  bool const isFirst = state.reportedAt - service.reportedAt >= settings_.bounds.inTouch;
  service.mean = isFirst ? reported : service.mean + newReportWeight * (reported - service.mean);
  service.reportedAt = state.reportedAt;
}

std::optional<double> LoadBalancer::recentMeanLoad(string const& service, TimePoint now) const {
  auto const known = serviceLoads_.find(service);
  if (known == serviceLoads_.end() || now - known->second.reportedAt >= settings_.bounds.inTouch) return std::nullopt;
  return known->second.mean;
}

void LoadBalancer::markFull(string const& worker) {
  workers_[worker].fullUntil = Clock::now() + settings_.bounds.step;
}

void LoadBalancer::markFailed(string const& worker, bool unreachable) {
  WorkerState& state = workers_[worker];
  state.failures = std::min(state.failures + 1, maxWorkerFailures);
  if (!unreachable && state.failures < failuresUntilAvoided) return;
  Ms const backoff = (settings_.bounds.inTouch / 12) * (1 << state.failures);
  state.failedUntil = Clock::now() + backoff;
}

void LoadBalancer::markHealthy(string const& worker) {
  workers_[worker].failures = 0;
}

void LoadBalancer::noteUnreached(Worker const& worker) {
  markFailed(worker.id, true);
  zones_.noteSilence(worker.zone, worker.id, Clock::now());
}

bool LoadBalancer::isZonePartitioned(std::map<string, Worker> const& workers) const {
  if (!zones_.hasSilent()) return false;
  std::set<string_view> others;
  for (auto const& [id, worker] : workers) {
    if (worker.zone == settings_.zone) continue;
    if (!zones_.isSilent(worker.zone)) return false;
    others.insert(worker.zone);
  }
  return others.size() >= minZonesForPartition;
}

double LoadBalancer::loadOf(WorkerState const& state, Worker const& worker, TimePoint now) const {
  double reported = 0;
  if (now - state.reportedAt < settings_.bounds.inTouch)
    reported = static_cast<double>(std::max<std::int64_t>(0, state.reportedRequests + state.ownSinceReport));
  double const requests = std::max(reported, static_cast<double>(state.ownRequests));
  return requests / static_cast<double>(worker.capacity);
}

double LoadBalancer::load(Worker const& worker, TimePoint now) const {
  auto const state = workers_.find(worker.id);
  return state == workers_.end() ? 0 : loadOf(state->second, worker, now);
}

double LoadBalancer::costOf(Candidate const& candidate, TimePoint now) const {
  WorkerState const& state = *candidate.state;
  double cost = loadOf(state, *candidate.worker, now) + costOfTokens(static_cast<double>(state.prefillTokens));
  bool const freshReport = now - state.reportedAt < settings_.bounds.step;
  if (freshReport) cost += costPerUnit * static_cast<double>(state.reportedWaiting);
  return cost;
}

std::uint64_t LoadBalancer::nextRandom() {
  randomState_ = randomState_ * 6364136223846793005ull + 1442695040888963407ull;
  return randomState_ >> 33;
}

std::int64_t LoadBalancer::runningAt(string const& worker) const {
  auto const state = workers_.find(worker);
  return state == workers_.end() ? 0 : state->second.ownRequests;
}

vector<LoadBalancer::Candidate> const& LoadBalancer::candidatesFor(FleetView const& view, string const& service,
                                                                   Group group) {
  CandidateList& list = candidateLists_[{service, group}];
  if (list.revision == view.revision()) return list.candidates;
  list.revision = view.revision();
  list.candidates = makeCandidates(view, service, group);
  return list.candidates;
}

vector<LoadBalancer::Candidate> LoadBalancer::makeCandidates(FleetView const& view, string const& service,
                                                             Group group) {
  VersionGroups const& groups = view.groupsOf(service);
  bool const wantsWarmingUp = group == Group::warmingUp;
  vector<Candidate> candidates;
  for (Worker const* const worker : group == Group::canary ? groups.canary : groups.stable)
    if (view.warmUpOf(*worker).mayBeUnderWay == wantsWarmingUp)
      candidates.push_back({worker, hash64(worker->id), &workers_[worker->id]});
  return candidates;
}

bool LoadBalancer::hasWarmingUpWorker(FleetView const& view, string const& service) {
  return !candidatesFor(view, service, Group::warmingUp).empty();
}

bool LoadBalancer::hasHealthyWarmWorker(FleetView const& view, string const& service) {
  TimePoint const now = Clock::now();
  vector<Candidate> const& candidates = candidatesFor(view, service, Group::stable);
  return std::any_of(candidates.begin(), candidates.end(), [this, now](Candidate const& candidate) {
    return !isAvoided(*candidate.state, *candidate.worker, now);
  });
}

bool LoadBalancer::isLastResort(Worker const& worker) const {
  auto const state = workers_.find(worker.id);
  return state != workers_.end() && isAvoided(state->second, worker, Clock::now());
}

Worker const* LoadBalancer::pickWarmingUp(FleetView const& view, PickRequest const& request,
                                          std::set<string> const& tried) {
  vector<Candidate> const& candidates = candidatesFor(view, request.service, Group::warmingUp);
  return candidates.empty() ? nullptr : pickAny(candidates, request, tried, Clock::now());
}

LoadBalancer::Fitness LoadBalancer::fitnessOf(Candidate const& candidate, PickRequest const& request,
                                              std::set<string> const& tried, TimePoint now) const {
  WorkerState const& state = *candidate.state;
  if (!tried.empty() && tried.contains(candidate.worker->id)) return Fitness::none;
  bool const avoided = isAvoided(state, *candidate.worker, now);
  if (request.background) {
    bool const busy = state.prefillRequests > 0 || loadOf(state, *candidate.worker, now) > 1 - request.reservedShare;
    if (avoided || busy) return Fitness::none;
  }
  return avoided ? Fitness::lastResort : Fitness::good;
}

Pick LoadBalancer::pick(FleetView const& view, PickRequest const& request, std::set<string> const& tried) {
  TimePoint const now = Clock::now();
  // Only a first try goes to a new version, so that a faulty one fails no request for good.
  VersionGroups const& groups = view.groupsOf(request.service);
  if (tried.empty() && !groups.canary.empty() && request.draw % fullShare < groups.canaryShare) {
    Pick const canary = pickFrom(candidatesFor(view, request.service, Group::canary), request, tried, now);
    if (canary.worker) return canary;
  }
  return pickFrom(candidatesFor(view, request.service, Group::stable), request, tried, now);
}

Pick LoadBalancer::pickFrom(vector<Candidate> const& candidates, PickRequest const& request,
                            std::set<string> const& tried, TimePoint now) {
  if (candidates.empty()) return {};
  bool const hasAffinity = static_cast<double>(request.sharedTokens) >= costUnitTokens;
  if (hasAffinity) return pickWithAffinity(candidates, request, tried, now);
  return {pickAny(candidates, request, tried, now), std::nullopt};
}

Worker const* LoadBalancer::pickAny(vector<Candidate> const& candidates, PickRequest const& request,
                                    std::set<string> const& tried, TimePoint now) {
  auto const weigh = [&](Best& best, Candidate const& candidate) {
    Fitness const fitness = fitnessOf(candidate, request, tried, now);
    if (fitness == Fitness::none || fitness < best.fitness) return;
    double const cost = costOf(candidate, now);
    if (fitness > best.fitness || cost < best.cost) best = Best{candidate.worker, fitness, cost};
  };
  // A few random samples usually include a good worker; otherwise all are compared.
  Best drawn;
  for (int draw = 0; draw < randomSamples; ++draw) weigh(drawn, candidates[nextRandom() % candidates.size()]);
  if (drawn.fitness == Fitness::good) return drawn.worker;
  Best best;
  std::size_t const start = nextRandom() % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) weigh(best, candidates[(start + i) % candidates.size()]);
  return best.worker;
}

/// The first worker in rendezvous order probably has the shared parts cached, the second one perhaps; all others must
/// prefill them again.
Pick LoadBalancer::pickWithAffinity(vector<Candidate> const& candidates, PickRequest const& request,
                                    std::set<string> const& tried, TimePoint now) const {
  Candidate const* preferredWorker = nullptr;  // the first of all, including avoided ones
  Candidate const* first = nullptr;
  Candidate const* second = nullptr;
  std::uint64_t preferredRank = 0, firstRank = 0, secondRank = 0;
  for (Candidate const& candidate : candidates) {
    std::uint64_t const rank = rendezvousRank(candidate.hash, request.sessionKey);
    if (!preferredWorker || rank > preferredRank) {
      preferredWorker = &candidate;
      preferredRank = rank;
    }
    if (fitnessOf(candidate, request, tried, now) != Fitness::good) continue;
    if (!first || rank > firstRank) {
      second = first;
      secondRank = firstRank;
      first = &candidate;
      firstRank = rank;
    } else if (!second || rank > secondRank) {
      second = &candidate;
      secondRank = rank;
    }
  }
  double const missCost = costOfTokens(static_cast<double>(request.sharedTokens));
  Best best;
  for (Candidate const& candidate : candidates) {
    Fitness const fitness = fitnessOf(candidate, request, tried, now);
    if (fitness == Fitness::none || fitness < best.fitness) continue;
    double const recomputeCost = &candidate == first ? 0 : &candidate == second ? missCost / 2 : missCost;
    double const cost = costOf(candidate, now) + recomputeCost;
    if (fitness > best.fitness || cost < best.cost) best = Best{candidate.worker, fitness, cost};
  }
  if (!best.worker) return {};
  return {best.worker, placementOf(*preferredWorker, request, tried, best, now)};
}

PrefixPlacement LoadBalancer::placementOf(Candidate const& preferredWorker, PickRequest const& request,
                                          std::set<string> const& tried, Best const& best, TimePoint now) const {
  bool const isPreferred = preferredWorker.worker == best.worker;
  bool const isHere = best.worker->zone == settings_.zone;
  PrefixPlacement placement;
  placement.prefixKey = request.sessionKey;
  placement.sharedTokens = request.sharedTokens;
  if (isPreferred)
    placement.choice = isHere ? PrefixChoice::cachedLocal : PrefixChoice::cachedRemote;
  else
    placement.choice = isHere ? PrefixChoice::recomputedLocal : PrefixChoice::recomputedRemote;
  bool const isFit = fitnessOf(preferredWorker, request, tried, now) == Fitness::good;
  if (!isPreferred) placement.reason = isFit ? PrefixReason::loaded : PrefixReason::unfit;
  placement.worker = best.worker->id;
  placement.workerZone = best.worker->zone;
  placement.preferredWorker = preferredWorker.worker->id;
  placement.preferredZone = preferredWorker.worker->zone;
  placement.preferredCost = costOf(preferredWorker, now);
  placement.chosenCost = best.cost;
  return placement;
}

void LoadBalancer::sweep(FleetView const& view) {
  std::erase_if(workers_, [&view](auto const& item) { return !view.find(item.first) && item.second.ownRequests <= 0; });
  std::erase_if(serviceLoads_,
                [this](auto const& item) { return Clock::now() - item.second.reportedAt >= settings_.bounds.inTouch; });
  candidateLists_.clear();
}

}  // namespace tealshelf
