#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Leases that one control node granted to stores. A lease is valid while a majority of the control nodes granted it
/// within the last `duration`. Does no I/O.
class LeaseGrants {
 public:
  enum class Decision { granted, fenced, notReady };
  LeaseGrants(Ms duration, TimePoint startedAt) : duration_(duration), startedAt_(startedAt) {}

  /// Renews a store's lease, unless it is fenced or this node isn't ready to grant any.
  Decision renew(NodeId store, std::uint64_t lease, bool ready, TimePoint now) {
    Grant& grant = grants_[store];
    grant.highestLease = std::max(grant.highestLease, lease);
    if (lease <= grant.fencedUpTo) return Decision::fenced;
    if (!ready) return Decision::notReady;
    grant.grantedAt = now;
    return Decision::granted;
  }

  /// Highest lease of a store that this node has fenced.
  std::uint64_t fencedUpTo(NodeId store) const {
    auto const grant = grants_.find(store);
    return grant == grants_.end() ? 0 : grant->second.fencedUpTo;
  }

  /// Fences the current lease of a store permanently. Returns false without fencing it while a lease granted by this
  /// process or
  /// an earlier one of this node may still be valid.
  bool fence(NodeId store, TimePoint now) {
    Grant& grant = grants_[store];
    if (now - grant.grantedAt <= duration_ || now - startedAt_ <= duration_) return false;
    grant.fencedUpTo = std::max(grant.fencedUpTo, grant.highestLease);
    return true;
  }

 private:
  struct Grant {
    std::uint64_t highestLease = 0, fencedUpTo = 0;
    TimePoint grantedAt;
  };
  Ms duration_;
  TimePoint startedAt_;
  std::map<NodeId, Grant> grants_;
};

}  // namespace tealshelf
