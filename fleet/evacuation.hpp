#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// The control plane's record, published to all nodes, of whether a zone is evacuated.
struct Evacuation {
  string zone;
  bool isActive = false;       ///< no requests may be sent to the zone's workers
  std::uint64_t revision = 0;  ///< incremented with each change of this zone's record
  bool operator==(Evacuation const&) const = default;
  MSGPACK_DEFINE(zone, isActive, revision)
};

/// True if a worker reports that it is warming up, or has sent no heartbeat since its zone's evacuation changed (null:
/// it never did): workers of an evacuated zone may go cold, so they count as cold until they report otherwise.
inline bool mayBeWarmingUp(Worker const& worker, Evacuation const* evacuation) {
  return worker.warmingUp || (evacuation && worker.evacuationRevision < evacuation->revision);
}

}  // namespace tealshelf
