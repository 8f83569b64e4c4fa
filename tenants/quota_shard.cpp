#include "tenants/quota_shard.hpp"

namespace tealshelf {

void QuotaShard::setConfiguration(std::shared_ptr<Configuration const> configuration, TimePoint now) {
  std::map<string, RateAllowance> limits;
  for (Tenant const& tenant : configuration->tenants)
    if (tenant.isLimited()) limits[tenant.name] = totalAllowance(tenant, bounds_);
  shard_.setLimits(limits, now);
  configuration_ = std::move(configuration);
}

TakeCreditReply QuotaShard::take(string const& tenant, TimePoint majorityContact, TimePoint now) {
  TakeCreditReply reply;
  Tenant const* const known = configuration_ ? configuration_->findTenant(tenant) : nullptr;
  if (!known) return reply;
  if (known->isLimited()) return shard_.take(tenant, majorityContact, now);
  if (shard_.mayCount(majorityContact, now)) reply.verdict = CreditVerdict::granted;
  return reply;
}

}  // namespace tealshelf
