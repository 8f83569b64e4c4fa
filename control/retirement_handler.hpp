#pragma once
#include "control/owned_keyspace.hpp"
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

/// Handles `/retire/NODE`: the operator has the lots of a store moved before its machine is removed.
class RetirementHandler {
 public:
  RetirementHandler(Settings const& settings, RpcClient& rpc, ConsensusDriver& driver, LotCoordinator& lots);
  Task<CallReply> handle(ForwardedCall call);
  /// Names of the retiring stores, as far as this node knows.
  static std::set<string> retiringStores(Consensus const& consensus);

 private:
  /// Throws ErrorCode::tooFewStores if fewer stores would remain than a lot needs copies.
  void checkRemainingStores(string const& node) const;

  Settings const& settings_;
  ConsensusDriver& driver_;
  LotCoordinator& lots_;
  OwnedKeyspace keyspace_;
};

}  // namespace tealshelf
