#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// Whether the workers of a zone may be sent anything, as the control plane records it and all nodes are told.
struct Evacuation {
  string zone;
  bool isActive = false;       ///< the zone's workers get nothing
  std::uint64_t revision = 0;  ///< rises with each change of this zone's record
  bool operator==(Evacuation const&) const = default;
  MSGPACK_DEFINE(zone, isActive, revision)
};

/// True if a worker says that it warms up, or if nothing was heard from it since its zone's evacuation changed (null:
/// it never did): workers of an evacuated zone may go cold, and are taken for cold until they say otherwise.
inline bool mayBeWarmingUp(Worker const& worker, Evacuation const* evacuation) {
  return worker.warmingUp || (evacuation && worker.evacuationRevision < evacuation->revision);
}

}  // namespace tealshelf
