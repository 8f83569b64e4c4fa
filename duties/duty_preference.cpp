#include "duties/duty_preference.hpp"

namespace tealshelf {

void DutyPreference::noteOwnership(bool isOwner, TimePoint now) {
  if (wasOwner_ && !isOwner) lostAt_ = now;
  wasOwner_ = isOwner;
}

std::set<NodeId> DutyPreference::deprioritizedOwners(std::set<NodeId> withoutContact,
                                                     std::optional<Incumbent> const& incumbent,
                                                     vector<Member> const& members, TimePoint now) const {
  bool const lostRecently = lostAt_ && now - *lostAt_ < lease_;
  if (lostRecently) {
    withoutContact.insert(self_);
    return withoutContact;
  }
  bool const keepsIncumbent = incumbent && incumbent->isAlive && !withoutContact.contains(incumbent->node);
  if (!keepsIncumbent) return withoutContact;
  for (Member const& member : members)
    if (member.id != incumbent->node) withoutContact.insert(member.id);
  return withoutContact;
}

}  // namespace tealshelf
