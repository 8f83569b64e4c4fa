#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The leases that one control node granted to stores. A lease counts while a majority of the control nodes granted it
/// within the last `duration`. No input or output of its own.
class LeaseGrants {
 public:
  enum class Decision { granted, fenced, notReady };
  LeaseGrants(Ms duration, TimePoint startedAt) : duration_(duration), startedAt_(startedAt) {}

  /// A store asks for its lease to go on; nothing is granted while this node isn't ready.
  Decision renew(NodeId store, std::uint64_t lease, bool ready, TimePoint now) {
    Grant& grant = grants_[store];
    grant.highestLease = std::max(grant.highestLease, lease);
    if (lease <= grant.fencedUpTo) return Decision::fenced;
    if (!ready) return Decision::notReady;
    grant.grantedAt = now;
    return Decision::granted;
  }

  /// The highest lease of a store that is never granted again here.
  std::uint64_t fencedUpTo(NodeId store) const {
    auto const grant = grants_.find(store);
    return grant == grants_.end() ? 0 : grant->second.fencedUpTo;
  }

  /// Bars the present lease of a store for good. False, and nothing is barred, while a lease granted here, or by an
  /// earlier process of this node, may still count.
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
