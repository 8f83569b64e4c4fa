#include "duties/duty_lease.hpp"

namespace tealshelf {

void DutyLease::noteClaimed(Epoch epoch, std::uint64_t fence, bool hadPredecessor, TimePoint now) {
  isClaimed_ = true;
  epoch_ = epoch;
  fence_ = fence;
  actsFrom_ = hadPredecessor ? now + lease_ : now;
  endsAt_ = now;
}

void DutyLease::noteConfirmed(Epoch epoch, TimePoint askedAt) {
  if (!isClaimedUnder(epoch)) return;
  endsAt_ = std::max(endsAt_, askedAt + lease_ * 3 / 4);
}

void DutyLease::drop() {
  isClaimed_ = false;
}

}  // namespace tealshelf
