#pragma once
#include "configuration/configuration.hpp"

/// How the limit of a tenant is divided among the control nodes that count for it.
///
/// The rule: in every window of length W, the requests of a tenant that reach workers, from all nodes together, number
/// no more than (rate x W + burst) x (1 + overrun) + margin. Each shard is a token bucket; a granted token may be spent
/// during the life E of a credit. So the tokens spent in a window come from grants in a span of W + E, and all shards
/// together grant no more than their rates x (W + E) + their depths. The allowance below makes that sum fit the rule,
/// with a reserve for clock drift and for requests in transit for longer than E, which the sum doesn't count.
namespace tealshelf {

/// The refill rate of a token bucket and its depth.
struct RateAllowance {
  double perSecond = 0, burst = 0;
};

/// The life of a credit of a rule with a given window.
Ms creditLifeIn(Ms window);

/// The life of a credit for a tenant, within which its request must be sent to a worker.
Ms creditLife(Bounds const& bounds);

/// How long a shard grants without contact with a majority. A node that becomes a shard waits at least as long before
/// it grants, so that the previous holder of its share has stopped by then.
Ms shardLease(Bounds const& bounds);

/// The durations that keep a share of a limit from being used by two nodes at once.
struct ShardTiming {
  Ms lease{0};          ///< see shardLease
  Ms takeoverDelay{0};  ///< wait before using a share that another node may still use
  static ShardTiming of(Bounds const& bounds) { return {shardLease(bounds), shardLease(bounds) + creditLife(bounds)}; }
};

/// The rate and burst that all shards of a tenant grant together.
RateAllowance totalAllowance(Tenant const& tenant, Bounds const& bounds);

/// The most shards that a limit may be divided among such that each can hold a whole token.
std::size_t maxShards(RateAllowance const& total);

}  // namespace tealshelf
