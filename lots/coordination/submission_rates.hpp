#pragma once
#include "configuration/configuration.hpp"

namespace tealshelf {

/// Counts the lots that tenants submit against their rate limits, apart from their other requests.
///
/// At once a tenant may submit as many lots as the rule on requests allows it in a window, margin included, and at
/// least one; after that, lots at its rate. The owner of a host's keyspace counts; another owner begins anew. Does no
/// I/O.
class SubmissionRates {
 public:
  explicit SubmissionRates(Bounds const& bounds) : bounds_(bounds) {}
  /// Counts a lot; false if it is over the tenant's limit, and then it isn't counted.
  bool take(Tenant const& tenant, TimePoint now) {
    if (!tenant.isLimited()) return true;
    double const windowSeconds = std::chrono::duration<double>(bounds_.quotaWindow).count();
    double const depth = std::max(1.0, tenant.ratePerSecond * windowSeconds + tenant.burst + bounds_.quotaMargin);
    auto const [found, isNew] = buckets_.try_emplace(tenant.name, Bucket{depth, now});
    Bucket& bucket = found->second;
    double const elapsedSeconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.left = std::min(depth, bucket.left + elapsedSeconds * tenant.ratePerSecond);
    bucket.refilledAt = now;
    if (bucket.left < 1) return false;
    --bucket.left;
    return true;
  }

 private:
  struct Bucket {
    double left = 0;  ///< lots that may be submitted now
    TimePoint refilledAt;
  };
  Bounds const& bounds_;
  std::map<string, Bucket> buckets_;  ///< by tenant
};

}  // namespace tealshelf
