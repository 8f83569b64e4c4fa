#pragma once
#include "tenants/quota_shards.hpp"

namespace tealshelf {

/// Which control node an edge asks next to count a request of a tenant; no input or output of its own.
///
/// Those of its own zone come first, in an order of its own, so that edges spread over them. A node that failed rests
/// for a growing time; one whose part of a tenant's limit is used up is left out, for this tenant, as long as it said.
class ShardChoice {
 public:
  /// What stands in the way of a credit where no shard is left to be asked.
  enum class Obstacle {
    exhausted,   ///< the tenant's limit is used up, as far as it can be told
    unreachable  ///< no shard answers
  };

  ShardChoice(string self, string zone, Bounds const& bounds);
  /// The next shard to ask for a request that was tried at others before; nothing if none is left.
  std::optional<Member> next(vector<Member> const& shards, string const& tenant, std::set<NodeId> const& asked,
                             TimePoint now) const;
  Obstacle obstacle(vector<Member> const& shards, string const& tenant, TimePoint now) const;
  /// How many shards a request may ask: few while the tenant is at its limit, as most have nothing left.
  std::size_t maxAsked(string const& tenant, TimePoint now) const;

  void noteGranted(NodeId shard, string const& tenant);
  void noteExhausted(NodeId shard, string const& tenant, Ms retryAfter, TimePoint now);
  /// All shards that could be asked had nothing left.
  void noteAllExhausted(string const& tenant, TimePoint now);
  void noteFailed(NodeId shard, TimePoint now);
  /// Forgets what lies in the past.
  void sweep(TimePoint now);
  std::size_t size() const { return exhausted_.size() + atLimit_.size() + failures_.size(); }

 private:
  struct TenantAtShard {
    string tenant;
    NodeId shard;
    auto operator<=>(TenantAtShard const&) const = default;
  };
  struct Failure {
    int count = 0;  ///< in a row
    TimePoint restsUntil;
  };
  bool isExhausted(NodeId shard, string const& tenant, TimePoint now) const;
  bool rests(NodeId shard, TimePoint now) const;

  string self_, zone_;
  Ms firstRest_, longestRest_, limitMemory_;
  std::map<TenantAtShard, TimePoint> exhausted_;  ///< until when
  std::map<string, TimePoint> atLimit_;           ///< until when a tenant counts as at its limit
  std::map<NodeId, Failure> failures_;
};

}  // namespace tealshelf
