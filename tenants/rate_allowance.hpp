#pragma once
#include "configuration/configuration.hpp"

/// How the limit of a tenant is divided among the control nodes that count for it.
///
/// The rule: in every window of length W, requests of a tenant that reach workers from anywhere number no more than
/// (rate x W + burst) x (1 + overrun) + margin. Each shard is a token bucket; a token that it grants may be spent for
/// the life E of a credit. So the tokens spent in a window come from grants in a span of W + E, and all shards together
/// grant no more than their rates x (W + E) + their depths. The allowance below makes that sum fit the rule with a
/// reserve for what the sum doesn't count: clocks of different rates, and requests on their way for longer than E.
namespace tealshelf {

/// What a token bucket grants: tokens a second, and at once.
struct RateAllowance {
  double perSecond = 0, burst = 0;
};

/// The life of a credit of a rule with such a window.
Ms creditLifeIn(Ms window);

/// The life of a credit for a tenant: until when a granted request must be on its way to a worker.
Ms creditLife(Bounds const& bounds);

/// For how long a shard counts on without contact to a majority, and for how long a node that becomes a shard waits
/// before it grants: whatever had its part of the limit before must have stopped by then.
Ms shardLease(Bounds const& bounds);

/// The times that keep parts of a limit from being in use twice.
struct ShardTiming {
  Ms lease{0};          ///< see shardLease
  Ms takeoverDelay{0};  ///< a part that may be in use elsewhere is idle for so long first
  static ShardTiming of(Bounds const& bounds) { return {shardLease(bounds), shardLease(bounds) + creditLife(bounds)}; }
};

/// What all shards of a tenant together grant.
RateAllowance totalAllowance(Tenant const& tenant, Bounds const& bounds);

/// How many shards a tenant's limit is divided among at the most: each must be able to grant a whole token.
std::size_t maxShards(RateAllowance const& total);

}  // namespace tealshelf
