#include "consensus/membership.hpp"

namespace tealshelf {

Member const* Membership::find(NodeId id) const {
  for (Member const& member : members)
    if (member.id == id) return &member;
  return nullptr;
}

}  // namespace tealshelf
