#include "tenants/quota_client.hpp"

namespace tealshelf {

Task<Credit> QuotaClient::take(Tenant tenant, TimePoint until) {
  RateAllowance const limit = totalAllowance(tenant, bounds_);
  CreditClient::Outcome const outcome = co_await credits_.take(std::move(tenant.name), limit, until);
  if (outcome.credit) co_return *outcome.credit;
  bool const isOverRate = outcome.refusal == CreditClient::Refusal::exhausted;
  (isOverRate ? overRate_ : unknown_).increment();
  throw Error(isOverRate ? ErrorCode::rateExceeded : ErrorCode::quotaUnknown);
}

}  // namespace tealshelf
