#pragma once
#include "base/tealshelf.hpp"

/// The control nodes that store the control state and vote on it.
namespace tealshelf {

/// A node as a member of a membership.
struct Member {
  NodeId id;
  string name, ip, zone;
  /// Belongs to the first membership, so its disk holds all keys from the start.
  bool founder = false;
  /// Keeps its state on disk.
  bool hasDisk = true;
  /// Identifies one uninterrupted period of membership. A node that was removed, or that gave up its vote, can return
  /// only under another incarnation, as a new member.
  std::uint64_t incarnation = 0;
  bool operator==(Member const&) const = default;
  MSGPACK_DEFINE(id, name, ip, zone, founder, hasDisk, incarnation)
};

/// A set of members. Each change adds, removes or replaces one member and increases the number.
struct Membership {
  MembershipNumber number;
  vector<Member> members;
  /// Members of the previous membership; a new member copies all keys from a majority of them.
  vector<Member> formerMembers;

  /// False on a node that knows no membership yet.
  bool exists() const { return number.value != 0; }
  /// The member with an id, or null.
  Member const* find(NodeId id) const;
  /// The number of members that form a majority.
  std::size_t quorum() const { return members.size() / 2 + 1; }
  /// The number of former members that form a majority of these.
  std::size_t formerQuorum() const { return formerMembers.size() / 2 + 1; }
  MSGPACK_DEFINE(number, members, formerMembers)
};

/// The membership and a node's own role in it, as stored on the node's disk.
struct MembershipRecord {
  Membership membership;
  /// The node's disk holds all keys; the node votes if it is also a member.
  bool holdsAllKeys = false;
  /// The node was a member under its current incarnation and has been removed.
  bool retired = false;
  std::uint64_t incarnation = 0;
  /// This node as a voter of the previous membership: one member or none.
  vector<Member> formerVoter;
  MSGPACK_DEFINE(membership, holdsAllKeys, retired, incarnation, formerVoter)
};

}  // namespace tealshelf
