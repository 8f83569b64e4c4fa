#include "tenants/warm_up_allowance.hpp"

namespace tealshelf {

namespace {
/// The part of the bound that the shards grant in a window. The rest is a reserve for what their sum doesn't count:
/// requests that are on their way for longer than a credit lives, and those that cut-off nodes send after a question.
constexpr double usedBoundShare = 0.8;
/// The part of what is granted that is depth at least, so that several shards have a whole token each.
constexpr double minBurstShare = 0.2;
/// A worker's word that it is warm is trusted for this part of inTouch.
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
