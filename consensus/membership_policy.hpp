#pragma once
#include "consensus/consensus.hpp"
#include "consensus/keyspace_names.hpp"

namespace tealshelf {

/// A request to change the membership: a node wants in, or is to be removed.
struct MembershipChange {
  Member who;
  bool leaves = false;
  /// The membership under which the node, as a learner, copied all keys from a majority.
  MembershipNumber copiedUnder;
};

/// Decides the next membership.
///
/// A node that wants in is a learner first: it copies all keys from a majority of the voters and is promoted only
/// then. It takes the place of the member at its address, else of one without a disk, else of the one that was silent
/// longest and for longer than `deadAfter`. While a member is silent for a shorter time the learner waits, and it is
/// added only if every member is alive.
///
/// One change at a time: none while the newcomer of the last change is alive but has no vote yet, and none by an
/// owner that has not committed a write of its own epoch. Those who stay and vote must be a majority of the next
/// membership. A member is removed without replacement only once every keyspace was rewritten in the present
/// membership. The reasons: docs/design.md, "Control under failure".
struct MembershipPolicy {
  Ms deadAfter;
  std::size_t minMembers = 3;  ///< a membership never shrinks below this

  /// The membership after a change; nothing if it can't be made now.
  std::optional<Membership> next(Consensus const& consensus, MembershipChange const& change, TimePoint now) const;

  /// How many members a membership needs to survive so many losses at once.
  static std::size_t membersToSurvive(std::int64_t losses) { return static_cast<std::size_t>(2 * losses + 1); }
  /// True if a membership survives so many losses: enough members, all with disks.
  static bool survives(Membership const& membership, std::int64_t losses);
  /// True if the members that are alive, without one, don't survive so many losses as long as that one counts.
  static bool lacksFaultTolerance(Consensus const& consensus, NodeId without, std::int64_t losses, TimePoint now);
  /// For how long a member must be silent before another may have its place: as long as the deployment gives a
  /// successor to catch up, less what it takes to promote one.
  static Ms deadAfterFor(Bounds const& bounds) {
    return std::max(bounds.inTouch / 2, bounds.catchUp - bounds.inTouch / 2);
  }
};

/// The key of the membership in membersKeyspace.
inline constexpr char const* membershipKey = "membership";

/// The membership that the owner of its keyspace has committed; number 0 if none.
Membership committedMembership(Consensus const& consensus);

}  // namespace tealshelf
