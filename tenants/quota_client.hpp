#pragma once
#include "base/metrics.hpp"
#include "tenants/shard_choice.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// Leave to send one request of a tenant to a worker, until it lapses.
struct Credit {
  TimePoint lapsesAt = TimePoint::max();
  bool isValid(TimePoint now) const { return now < lapsesAt; }
};

/// Has requests of tenants counted by the shards, for an edge node.
///
/// Runs on the io thread. Everything passed in must outlive it.
class QuotaClient {
 public:
  QuotaClient(Settings const& settings, RpcClient& rpc, FleetView& view);
  /// Takes a credit for one request of a tenant. Throws overRate if the tenant's limit is used up, quotaUnknown if no
  /// shard could tell until a time.
  Task<Credit> take(Tenant tenant, TimePoint until);
  /// Gives back a credit whose request reached no worker.
  void giveBack(string const& tenant, Credit const& credit);
  /// Forgets what lies in the past.
  void sweep();

 private:
  /// The shards of a tenant, valid until the next call.
  vector<Member> const& shardsFor(Tenant const& tenant);
  std::optional<Credit> takeReturned(string const& tenant, TimePoint now);
  /// Asks one shard; the credit if it grants one.
  Task<std::optional<Credit>> ask(Member shard, string tenant, TimePoint until);

  Settings const& settings_;
  RpcClient& rpc_;
  FleetView& view_;
  ShardChoice choice_;
  std::map<string, vector<Credit>> returned_;  ///< by tenant
  vector<Member> members_;
  std::uint64_t membersRevision_ = 0;
  vector<Member> fewShards_;  ///< of the tenant asked for last, where not all members are its shards
  Counter asked_ = metrics().counter("tealshelf_quota_questions_total", "Credits that shards were asked for.");
  Counter granted_ = metrics().counter("tealshelf_quota_granted_total", "Credits that shards granted.");
  Counter overRate_ =
      metrics().counter("tealshelf_quota_refused_total", "Requests refused, by reason.", {{"reason", "over_rate"}});
  Counter unknown_ =
      metrics().counter("tealshelf_quota_refused_total", "Requests refused, by reason.", {{"reason", "no_shard"}});
};

}  // namespace tealshelf
