#include "duties/duty_preference.hpp"

namespace tealshelf {

void DutyPreference::noteOwnership(bool isOwner, TimePoint now) {
  if (wasOwner_ && !isOwner) lostAt_ = now;
  wasOwner_ = isOwner;
}

std::set<NodeId> DutyPreference::passedOver(std::set<NodeId> unfit, std::optional<Incumbent> const& incumbent,
                                            vector<Member> const& members, TimePoint now) const {
  bool const lostLately = lostAt_ && now - *lostAt_ < lease_;
  if (lostLately) {
    unfit.insert(self_);
    return unfit;
  }
  bool const keepsIncumbent = incumbent && incumbent->isAlive && !unfit.contains(incumbent->node);
  if (!keepsIncumbent) return unfit;
  for (Member const& member : members)
    if (member.id != incumbent->node) unfit.insert(member.id);
  return unfit;
}

}  // namespace tealshelf
