#pragma once
#include "consensus/consensus_driver.hpp"
#include "control/messages.hpp"

namespace tealshelf {

/// Operators' orders that may queue at one handler.
constexpr std::size_t maxWaitingOrders = 64;

/// A keyspace whose calls are handled by its owner, and only while a majority confirms the ownership. Shared by the
/// handlers of such calls.
class OwnedKeyspace {
 public:
  OwnedKeyspace(Settings const& settings, RpcClient& rpc, ConsensusDriver& driver, string name)
      : settings_(settings), rpc_(rpc), driver_(driver), name_(std::move(name)) {}

  /// Forwards a call to the owner and returns its reply; nothing if this node is the owner. Throws noOwner, or what the
  /// owner threw.
  Task<std::optional<CallReply>> forward(ForwardedCall call) const;
  /// Has a majority confirm that this node owns the keyspace; throws ErrorCode::noQuorum otherwise.
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
