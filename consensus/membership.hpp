#pragma once
#include "base/tealshelf.hpp"

/// The nodes that hold and vote on the control state.
namespace tealshelf {

/// A node of the membership.
struct Member {
  NodeId id;
  string name, ip, zone;
  /// Belongs to the first membership, so that its disk has seen every write.
  bool founder = false;
  /// Keeps its state on a disk.
  bool hasDisk = true;
  /// Number of one uninterrupted membership of this disk. A disk that was removed, or that lost its vote, comes back
  /// under another incarnation and is a newcomer then.
  std::uint64_t incarnation = 0;
  bool operator==(Member const&) const = default;
  MSGPACK_DEFINE(id, name, ip, zone, founder, hasDisk, incarnation)
};

/// The members of one moment. A membership changes by one member at a time, under a rising number.
struct Membership {
  MembershipNumber number;
  vector<Member> members;
  /// Members of the membership before this one; a newcomer copies all keys from a majority of them.
  vector<Member> formerMembers;

  /// False for a node that knows of no membership yet.
  bool exists() const { return number.value != 0; }
  /// The member with an id, or null.
  Member const* find(NodeId id) const;
  /// How many members are a majority.
  std::size_t quorum() const { return members.size() / 2 + 1; }
  /// How many former members are a majority of them.
  std::size_t formerQuorum() const { return formerMembers.size() / 2 + 1; }
  MSGPACK_DEFINE(number, members, formerMembers)
};

/// What a node stores of the membership and of its own part in it.
struct MembershipRecord {
  Membership membership;
  /// The disk holds all keys, and the node votes if it is a member.
  bool holdsAllKeys = false;
  /// The disk was a member under its incarnation and is one no more.
  bool retired = false;
  std::uint64_t incarnation = 0;
  /// This node as it voted in the membership before: one member or none.
  vector<Member> formerVoter;
  MSGPACK_DEFINE(membership, holdsAllKeys, retired, incarnation, formerVoter)
};

}  // namespace tealshelf
