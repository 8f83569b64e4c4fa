#include "control/owned_keyspace.hpp"

#include "consensus/forward_to_owner.hpp"

namespace tealshelf {

Task<std::optional<CallReply>> OwnedKeyspace::forward(ForwardedCall call) const {
  Ms const budget(call.budgetMs);
  ForwardLimits const limits{settings_.bounds.confirmWithin / 8, budget, budget};
  return forwardToOwner(driver_, rpc_, settings_.ip, name_, std::move(call), limits);
}

Task<Epoch> OwnedKeyspace::confirmOwnership(TimePoint end) const {
  Consensus const& consensus = driver_.consensus();
  Epoch const epoch = consensus.epochOf(name_);
  Ms const limit = std::min(Ms(settings_.bounds.inTouch / 3), Ms(remainingMs(end)));
  bool const confirmed = co_await driver_.confirmOwnership(name_, limit);
  if (!confirmed || !consensus.owns(name_) || consensus.epochOf(name_) != epoch) throw Error(ErrorCode::noQuorum);
  co_return epoch;
}

Task<void> OwnedKeyspace::commit(vector<KeyChange> changes) const {
  OperationResult const result = co_await driver_.propose(name_, std::move(changes));
  if (result != OperationResult::committed) throw Error(ErrorCode::changeUndecided);
}

}  // namespace tealshelf
