#include "tenants/warm_up_allowance.hpp"

namespace tealshelf {

namespace {
/// Parts of the bound that the shards grant in a window, and of that which are depth. The rest of the bound is a
/// reserve for what their sum doesn't count: requests that are on their way for longer than a credit lives, and those
/// that nodes had sent before they could know.
constexpr double usedBound = 0.7, depthPart = 0.4;
}  // namespace

Ms warmUpCreditLife() {
  return creditLifeIn(warmUpWindow);
}

CreditTiming warmUpTiming(Bounds const& bounds) {
  Ms const lease = shardLease(bounds);
  return {warmUpWindow, warmUpCreditLife(), {lease, lease + warmUpCreditLife()}};
}

double warmUpBound(ServiceSettings const& service, Bounds const& bounds) {
  return service.warmUpPerSecond * bounds.warmUpOverrun + bounds.warmUpMargin;
}

RateAllowance warmUpAllowance(ServiceSettings const& service, Bounds const& bounds) {
  double const granted = usedBound * warmUpBound(service, bounds);
  double const span = std::chrono::duration<double>(warmUpWindow + warmUpCreditLife()).count();
  double const perSecond = std::min(service.warmUpPerSecond, granted * (1 - depthPart) / span);
  return {perSecond, std::min(granted * depthPart, granted - perSecond * span)};
}

bool grantsAnything(RateAllowance const& allowance) {
  return allowance.perSecond > 0 && allowance.burst >= 1;
}

}  // namespace tealshelf
