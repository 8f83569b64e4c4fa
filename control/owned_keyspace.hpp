#pragma once
#include "consensus/consensus_driver.hpp"
#include "control/messages.hpp"

namespace tealshelf {

/// Orders of operators that may wait while another one of the same handler is being written.
constexpr std::size_t maxWaitingOrders = 64;

/// What the handlers of calls about one keyspace have in common: they run at its owner, and only as long as a majority
/// says that it is the owner.
class OwnedKeyspace {
 public:
  OwnedKeyspace(Settings const& settings, RpcClient& rpc, ConsensusDriver& driver, string name)
      : settings_(settings), rpc_(rpc), driver_(driver), name_(std::move(name)) {}

  /// The owner's answer, if another node owns the keyspace; nothing once this node does. Throws noOwner, or what the
  /// other node threw.
  Task<std::optional<CallReply>> forward(ForwardedCall call) const;
  /// Makes sure that this node owns the keyspace; throws ErrorCode::noQuorum otherwise.
  Task<Epoch> confirmOwnership(TimePoint end) const;
  /// Writes changes; throws ErrorCode::changeUndecided unless they were committed.
  Task<void> commit(vector<KeyChange> changes) const;
  Values const& values() const { return driver_.consensus().committedValues(name_); }

 private:
  Settings const& settings_;
  RpcClient& rpc_;
  ConsensusDriver& driver_;
  string name_;
};

}  // namespace tealshelf
