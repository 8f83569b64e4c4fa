#pragma once
#include "consensus/membership.hpp"

namespace tealshelf {

/// Which control nodes a node passes over as owner of the duties; no input or output of its own.
///
/// Whoever holds the duties keeps them as long as it lives and reaches the platform, so that they don't swing back. A
/// node that lost them passes itself over for a lease, as its copy of the record may still name itself.
class DutyPreference {
 public:
  DutyPreference(NodeId self, Ms lease) : self_(self), lease_(lease) {}

  /// Whether this node owns the duties now.
  void noteOwnership(bool isOwner, TimePoint now);

  /// Who holds the duties by the newest record that is known here.
  struct Incumbent {
    NodeId node;
    bool isAlive = false;
  };
  /// `withoutContact`: nodes that don't reach the platform while others do.
  std::set<NodeId> deprioritizedOwners(std::set<NodeId> withoutContact, std::optional<Incumbent> const& incumbent,
                                       vector<Member> const& members, TimePoint now) const;

 private:
  NodeId self_;
  Ms lease_;
  bool wasOwner_ = false;
  std::optional<TimePoint> lostAt_;
};

}  // namespace tealshelf
