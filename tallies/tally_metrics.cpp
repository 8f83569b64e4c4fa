#include "tallies/tally_metrics.hpp"

namespace tealshelf {

void TallyMetrics::sample(TallyReplica const& replica) const {
  Gauge(recent).setCount(replica.table().recentCount());
  Gauge(remembered).setCount(replica.table().rememberedCount());
  std::size_t silent = 0;
  for (auto const& [id, peer] : replica.peers())
    if (!replica.isReachable(peer)) ++silent;
  Gauge(unreachable).setCount(silent);
  Gauge(serving).set(replica.isServing() ? 1 : 0);
}

}  // namespace tealshelf
