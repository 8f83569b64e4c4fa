#pragma once
#include "consensus/consensus.hpp"
#include "consensus/keyspace_names.hpp"

namespace tealshelf {

/// A requested change of the membership: a node asks to join, or is to be removed.
struct MembershipChange {
  Member member;
  bool isRemoval = false;
  /// The membership from a majority of which the joining node copied all keys as a learner.
  MembershipNumber copiedUnder;
};

/// Decides the next membership.
///
/// A joining node is first a learner: it copies all keys from a majority of the voters before it is promoted. It
/// replaces the member at its own address, else a member without a disk, else the member that has been silent longest
/// and for longer than `deadAfter`. It waits while a member is silent for a shorter time, and is added only if every
/// member is alive.
///
/// Only one change at a time is made: none while the new member of the last change is alive but has no vote yet, and
/// none by an owner that hasn't committed a write of its own epoch. The remaining voters must be a majority of the next
/// membership. A member is removed without replacement only after every keyspace was rewritten in the current
/// membership. The reasons are in docs/design.md, "Control under failure".
struct MembershipPolicy {
  Ms deadAfter;
  std::size_t minMembers = 3;  ///< a membership never shrinks below this

  /// The membership after a change; nothing if the change can't be made now.
  std::optional<Membership> next(Consensus const& consensus, MembershipChange const& change, TimePoint now) const;

  /// The number of members that a membership needs to survive so many simultaneous losses.
  static std::size_t membersToSurvive(std::int64_t losses) { return static_cast<std::size_t>(2 * losses + 1); }
  /// True if a membership has enough members to survive so many losses, all of them with disks.
  static bool survives(Membership const& membership, std::int64_t losses);
  /// True if, without one member, the live members would be no majority of the membership after so many losses.
  static bool lacksFaultTolerance(Consensus const& consensus, NodeId without, std::int64_t losses, TimePoint now);
  /// For how long a member must be silent before it may be replaced: the catch-up time that the settings allow a
  /// replacement, less the time to promote it.
  static Ms deadAfterFor(Bounds const& bounds) {
    return std::max(bounds.inTouch / 2, bounds.catchUp - bounds.inTouch / 2);
  }
};

/// The key of the membership in `membersKeyspace`.
inline constexpr char const* membershipKey = "membership";

/// The newest membership that this node knows to be committed in `membersKeyspace`; number 0 if none.
Membership committedMembership(Consensus const& consensus);

}  // namespace tealshelf
