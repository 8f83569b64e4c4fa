// RequestForwarder: selection of the next worker for a request.
#include "edge/request_forwarder.hpp"

namespace tealshelf {

namespace {
/// Parts of a route's target time: latest start of a second round over all workers, and the pause before it.
constexpr int secondRoundTargetDivisor = 4, secondRoundPauseDivisor = 20;
/// The wait for admission to a worker that is warming up is limited to this part of a route's target time.
constexpr int creditWaitTargetDivisor = 10;
/// Number of admissions that may be denied before a request fails.
constexpr int maxAdmissionAttempts = 4;
/// Below this load a warm worker has spare capacity, and workers that are warming up aren't used.
constexpr double maxLoadWithRoom = 0.5;
}  // namespace

bool RequestForwarder::hasSpareCapacity(Worker const& worker) const {
  TimePoint const now = Clock::now();
  double const meanLoad = balancer_.recentMeanLoad(worker.service, now).value_or(0);
  return std::max(balancer_.load(worker, now), meanLoad) < maxLoadWithRoom;
}

Task<std::optional<RequestForwarder::Target>> RequestForwarder::warmingTarget(RequestPlan const& plan,
                                                                              std::set<string> excluded, int most) {
  TimePoint const until = std::min(plan.deadline, Clock::now() + plan.route->target / creditWaitTargetDivisor);
  for (int asked = 0; asked < most && Clock::now() < until; ++asked) {
    Worker const* const candidate = balancer_.pickWarmingUp(view_, plan.pick, excluded);
    if (!candidate) co_return std::nullopt;
    // Copied: the list of workers may change during the wait.
    Worker const worker = *candidate;
    excluded.insert(worker.id);
    WarmUpGate::Admission const admission = co_await warmUps_.ask(worker, until);
    Worker const* const present = view_.find(worker.id);
    bool const isThere = present && view_.takesRequests(*present);
    if (admission.isGranted && isThere) co_return Target{worker, std::nullopt, admission.sendDeadline};
  }
  co_return std::nullopt;
}

Task<std::optional<RequestForwarder::Target>> RequestForwarder::admittedTarget(RequestPlan const& plan,
                                                                               RetryState& retries) {
  Pick pick = balancer_.pick(view_, plan.pick, retries.triedWorkers);
  bool const hasGood = pick.worker && !balancer_.isLastResort(*pick.worker);
  // Few services have a cold worker, so this is checked first.
  bool const triesCold =
      balancer_.hasWarmingUpWorker(view_, plan.pick.service) && (!hasGood || !hasSpareCapacity(*pick.worker));
  if (triesCold) {
    int const most = hasGood ? 1 : maxAdmissionAttempts;
    std::optional<Target> target = co_await warmingTarget(plan, retries.triedWorkers, most);
    if (target) co_return target;
    pick = balancer_.pick(view_, plan.pick, retries.triedWorkers);
  }
  for (int asked = 0; pick.worker && asked < maxAdmissionAttempts && Clock::now() < plan.deadline; ++asked) {
    Target target{*pick.worker, pick.prefix, TimePoint::max()};
    if (warmUps_.isOpen(target.worker)) co_return target;
    WarmUpGate::Admission const admission = co_await warmUps_.ask(target.worker, plan.deadline);
    target.sendDeadline = admission.sendDeadline;
    if (admission.isGranted) co_return target;
    retries.triedWorkers.insert(target.worker.id);
    if (admission.isUnanswered) balancer_.markFailed(target.worker.id, true);
    pick = balancer_.pick(view_, plan.pick, retries.triedWorkers);
  }
  co_return std::nullopt;
}

Task<std::optional<RequestForwarder::Target>> RequestForwarder::nextTarget(ClientConnection const& client,
                                                                           RequestPlan const& plan,
                                                                           RetryState& retries) {
  std::optional<Target> target = co_await admittedTarget(plan, retries);
  if (target || retries.inSecondRound || client.headSent) co_return target;
  retries.inSecondRound = true;
  Ms const inTime = plan.route->target;
  if (Clock::now() - plan.receivedAt > inTime / secondRoundTargetDivisor) co_return std::nullopt;
  retries.triedWorkers.clear();
  co_await sleepFor(std::max(Ms(1), inTime / secondRoundPauseDivisor));
  if (Clock::now() >= plan.deadline) co_return std::nullopt;
  target = co_await admittedTarget(plan, retries);
  co_return target;
}

}  // namespace tealshelf
