#pragma once
#include "consensus/consensus.hpp"

namespace tealshelf {

/// A wish to change the membership: a disk wants in, or (with leave) is to go.
struct MembershipWish {
  Member who;
  bool leave = false;
  MembershipNumber copiedUnder;  ///< the learner copied all keys from a majority under this membership
};

/// Decides the next membership on a wish; nothing if it can't change now.
///
/// A disk that wants in is a learner first: it copies all keys from a majority of the voters and is
/// promoted only then. It takes the place of the member at its address, else of one without a disk,
/// else of the one that was silent longest and for longer than deadAfter; while a member is silent for
/// a shorter time the learner waits, and it is added only if every member is in touch. One change at a
/// time: none while the newcomer of the last change is in touch but has no vote yet, and none by an
/// owner that has not committed a write of its own epoch. Those who stay and vote must be a majority
/// of the next membership. A member is taken out without replacement only once every keyspace was
/// written anew in the present membership (docs/design.md, "Control under failure").
struct MembershipPolicy {
  Ms deadAfter;
  std::size_t least = 3;  ///< a membership never shrinks below this
  std::optional<Membership> next(Consensus const& consensus, MembershipWish const& wish, TimePoint now) const;
  /// How many members a membership needs that bears so many losses at once.
  static std::size_t needed(std::int64_t survive) { return static_cast<std::size_t>(2 * survive + 1); }
  /// True if a membership bears so many losses: enough members, all with disks.
  static bool bears(Membership const& g, std::int64_t survive);
  /// True if the members in touch, without one, don't bear so many losses as long as that one counts.
  static bool isTight(Consensus const& consensus, NodeId without, std::int64_t survive, TimePoint now);
  /// For how long a member must be silent before another may have its place: as long as the deployment
  /// gives a successor to catch up, less what it takes to promote one.
  static Ms deadAfterFor(Bounds const& b) { return Ms(std::max(b.inTouch / 2, b.catchUp - b.inTouch / 2)); }
};

}  // namespace tealshelf
