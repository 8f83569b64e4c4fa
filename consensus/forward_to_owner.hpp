#pragma once
#include "consensus/consensus_driver.hpp"

/// Hands a call on to the node that owns a keyspace.
namespace tealshelf {

/// How long and how far a call is handed on.
struct ForwardLimits {
  Ms search;        ///< for which an owner is looked for
  Ms answer;        ///< for which the answer of another node is awaited
  Ms total;         ///< for both
  int maxHops = 2;  ///< so that nodes that take each other for the owner don't hand a call round for ever
};

/// The answer of the owner, or nothing once this node owns the keyspace. Throws ErrorCode::noOwner if no owner is found
/// within the limits. `driver` tells who owns what, `rpc` carries the call on. The message counts its hops; one with a
/// `budgetMs` is told how much time is left for it.
template <class Owners, class Calls, class Message>
Task<std::optional<typename Message::Reply>> forwardToOwner(Owners& driver, Calls& rpc, string ownIp, string keyspace,
                                                            Message message, ForwardLimits limits) {
  TimePoint const begin = Clock::now();
  TimePoint const end = begin + limits.total;
  TimePoint const searchEnd = std::min(begin + limits.search, end);
  while (!driver.consensus().owns(keyspace)) {
    std::optional<Address> const owner = driver.ownerAddress(keyspace);
    if (owner && owner->ip != ownIp && message.hops < limits.maxHops) {
      ++message.hops;
      Ms const left(remainingMs(end));
      if constexpr (requires { message.budgetMs; }) message.budgetMs = left.count();
      co_return co_await rpc.call(*owner, message, std::min(limits.answer, left));
    }
    if (Clock::now() > searchEnd) throw Error(ErrorCode::noOwner);
    co_await sleepFor(driver.heartbeatPeriod() / 5);
  }
  co_return std::nullopt;
}

}  // namespace tealshelf
