#pragma once
#include "consensus/membership.hpp"

namespace tealshelf {

/// Which control nodes a node deprioritizes as owner of the duties; does no I/O.
///
/// The holder keeps the duties as long as it is alive and reaches the platform, so that they don't move back and forth.
/// A node that lost the duties deprioritizes itself for a lease, as its copy of the record may still name itself.
class DutyPreference {
 public:
  DutyPreference(NodeId self, Ms lease) : self_(self), lease_(lease) {}

  /// Takes whether this node owns the duties now.
  void noteOwnership(bool isOwner, TimePoint now);

  /// The holder of the duties according to the newest record known to this node.
  struct Incumbent {
    NodeId node;
    bool isAlive = false;
  };
  /// `withoutContact`: nodes that can't reach the platform while others can.
  std::set<NodeId> deprioritizedOwners(std::set<NodeId> withoutContact, std::optional<Incumbent> const& incumbent,
                                       vector<Member> const& members, TimePoint now) const;

 private:
  NodeId self_;
  Ms lease_;
  bool wasOwner_ = false;
  std::optional<TimePoint> lostAt_;
};

}  // namespace tealshelf
