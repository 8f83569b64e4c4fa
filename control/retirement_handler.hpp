#pragma once
#include "control/owned_keyspace.hpp"
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

/// Handles `/retire/NODE`: the operator has a store emptied before its machine is taken away.
class RetirementHandler {
 public:
  RetirementHandler(Settings const& settings, RpcClient& rpc, ConsensusDriver& driver, LotCoordinator& lots);
  Task<CallReply> handle(ForwardedCall call);
  /// Names of the stores that shall be emptied, as far as this node knows.
  static std::set<string> retiringStores(Consensus const& consensus);

 private:
  /// Throws ErrorCode::tooFewStores if the stores that stay couldn't hold enough copies.
  void checkRemainingStores(string const& node) const;

  Settings const& settings_;
  ConsensusDriver& driver_;
  LotCoordinator& lots_;
  OwnedKeyspace keyspace_;
};

}  // namespace tealshelf
