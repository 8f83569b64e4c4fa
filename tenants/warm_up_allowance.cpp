#include "tenants/warm_up_allowance.hpp"

namespace tealshelf {

namespace {
/// The share of the bound that the shards grant in a window. The rest is a reserve for requests that aren't counted:
/// those in transit for longer than the life of a credit, and those that isolated nodes send after probing the worker.
constexpr double usedBoundShare = 0.8;
/// The least share of the grants that is burst, so that several shards can hold a whole token each.
constexpr double minBurstShare = 0.2;
/// A worker's own report that it is warm is trusted for inTouch divided by this.
constexpr int probeTrustDivisor = 256;
}  // namespace

Ms warmUpCreditLife() {
  return creditLifeIn(warmUpWindow);
}

Ms warmUpProbeTrust(Bounds const& bounds) {
  return std::max(Ms(1), bounds.inTouch / probeTrustDivisor);
}

CreditTiming warmUpTiming(Bounds const& bounds) {
  Ms const lease = shardLease(bounds);
  return {warmUpWindow, warmUpCreditLife(), {lease, lease + warmUpCreditLife()}};
}

double warmUpBound(ServiceSettings const& service, Bounds const& bounds) {
  return service.warmUpPerSecond * bounds.warmUpOverrun + bounds.warmUpMargin;
}

RateAllowance warmUpAllowance(ServiceSettings const& service, Bounds const& bounds) {
  double const granted = usedBoundShare * warmUpBound(service, bounds);
  double const span = std::chrono::duration<double>(warmUpWindow + warmUpCreditLife()).count();
  double const perSecond = std::min(service.warmUpPerSecond, granted * (1 - minBurstShare) / span);
  return {perSecond, granted - perSecond * span};
}

bool grantsAnything(RateAllowance const& allowance) {
  return allowance.perSecond > 0 && allowance.burst >= 1;
}

}  // namespace tealshelf
