#pragma once
#include "consensus/consensus.hpp"

namespace tealshelf {

/// The next membership when a disk wants in (or, with leave, is to go); nothing if it can't change now.
/// A joiner takes the place of the member at its address, else of one without a disk, else of one
/// that is silent for too long (if the deciding node runs long enough to tell); else it is added.
/// Those who stay and hold all keys must be a majority of the next membership. It is safe whoever else
/// is down: any majority of members that hold all keys has every acknowledged change, and a new
/// disk counts only once it copied from as many members as a majority of the membership before.
struct MembershipPolicy {
  Ms deadAfter;
  bool mayBury = false;   ///< the deciding node runs long enough to tell who is silent
  std::size_t least = 3;  ///< a membership never shrinks below this
  std::optional<Membership> next(Consensus const& consensus, Member const& who, bool leave, Moment now) const;
  /// How many members a membership needs that bears so many losses at once.
  static std::size_t needed(std::int64_t survive) { return static_cast<std::size_t>(2 * survive + 1); }
  /// True if a membership bears so many losses: enough members, all with disks.
  static bool bears(Membership const& g, std::int64_t survive);
};

}  // namespace tealshelf
