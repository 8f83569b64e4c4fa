#pragma once
#include "tenants/credit_client.hpp"

namespace tealshelf {

/// Obtains credits for the requests of tenants from the shards, for an edge node.
///
/// Runs on the io thread. Everything passed in must outlive it.
class QuotaClient {
 public:
  QuotaClient(Settings const& settings, RpcClient& rpc, FleetView& view)
      : bounds_(settings.bounds),
        credits_(settings, rpc, view, CreditKind::tenant, creditLife(bounds_), bounds_.quotaWindow) {}
  /// Takes a credit for one request of a tenant. Throws rateExceeded if the tenant's limit is used up, quotaUnknown if
  /// no shard answered by the time `until`.
  Task<Credit> take(Tenant tenant, TimePoint until);
  /// Returns a credit whose request reached no worker.
  void giveBack(string const& tenant, Credit const& credit) { credits_.giveBack(tenant, credit); }
  /// Discards expired state.
  void sweep() { credits_.sweep(); }

 private:
  Bounds const& bounds_;
  CreditClient credits_;
  Counter overRate_ =
      metrics().counter("tealshelf_quota_refused_total", "Requests refused, by reason.", {{"reason", "over_rate"}});
  Counter unknown_ =
      metrics().counter("tealshelf_quota_refused_total", "Requests refused, by reason.", {{"reason", "no_shard"}});
};

}  // namespace tealshelf
