#include "tenants/rate_allowance.hpp"

namespace tealshelf {

namespace {
/// The life of a credit is the window divided by this.
constexpr int creditLifeDivisor = 20;
/// Shares of the overrun and the margin of the rule that are granted; the rest is the reserve.
constexpr double usedOverrunShare = 0.8, usedMarginShare = 0.7;
/// The lease of a shard in halves of inTouch: longer than short partitions between the control nodes.
constexpr int leaseHalves = 5;
}  // namespace

Ms creditLifeIn(Ms window) {
  return std::max(Ms(1), window / creditLifeDivisor);
}

Ms creditLife(Bounds const& bounds) {
  return creditLifeIn(bounds.quotaWindow);
}

Ms shardLease(Bounds const& bounds) {
  return bounds.inTouch * leaseHalves / 2;
}

RateAllowance totalAllowance(Tenant const& tenant, Bounds const& bounds) {
  double const window = static_cast<double>(bounds.quotaWindow.count());
  double const span = window + static_cast<double>(creditLife(bounds).count());
  double const stretched = 1 + usedOverrunShare * bounds.quotaOverrun;
  return {tenant.ratePerSecond * stretched * window / span,
          tenant.burst * stretched + usedMarginShare * bounds.quotaMargin};
}

std::size_t maxShards(RateAllowance const& total) {
  constexpr double most = 1024;
  return static_cast<std::size_t>(std::clamp(total.burst, 1.0, most));
}

}  // namespace tealshelf
