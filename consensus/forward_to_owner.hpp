#pragma once
#include "consensus/consensus_driver.hpp"

/// Forwards a call to the node that owns a keyspace.
namespace tealshelf {

/// Time limits and hop limit of forwarding.
struct ForwardLimits {
  Ms search;        ///< for finding an owner
  Ms answer;        ///< for the reply of another node
  Ms total;         ///< for both together
  int maxHops = 2;  ///< prevents endless forwarding between nodes that consider each other the owner
};

/// Returns the owner's reply, or nothing if this node owns the keyspace or becomes its owner while searching. Throws
/// ErrorCode::noOwner if no owner is found within the limits. `driver` knows the owners, `rpc` sends the call.
/// `message.hops` is incremented, and `message.budgetMs`, if it exists, is set to the remaining time.
template <class Owners, class Calls, class Message>
Task<std::optional<typename Message::Reply>> forwardToOwner(Owners& driver, Calls& rpc, string ownIp, string keyspace,
                                                            Message message, ForwardLimits limits) {
  TimePoint const start = Clock::now();
  TimePoint const end = start + limits.total;
  TimePoint const searchEnd = std::min(start + limits.search, end);
  while (!driver.consensus().owns(keyspace)) {
    std::optional<Address> const owner = driver.ownerAddress(keyspace);
    if (owner && owner->ip != ownIp && message.hops < limits.maxHops) {
      ++message.hops;
      Ms const remaining(remainingMs(end));
      if constexpr (requires { message.budgetMs; }) message.budgetMs = remaining.count();
      co_return co_await rpc.call(*owner, message, std::min(limits.answer, remaining));
    }
    if (Clock::now() > searchEnd) throw Error(ErrorCode::noOwner);
    co_await sleepFor(driver.heartbeatPeriod() / 5);
  }
  co_return std::nullopt;
}

}  // namespace tealshelf
