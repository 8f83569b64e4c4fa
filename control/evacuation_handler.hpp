#pragma once
#include "base/async_mutex.hpp"
#include "control/owned_keyspace.hpp"
#include "fleet/evacuation.hpp"
#include "updates/update_publisher.hpp"

namespace tealshelf {

/// Handles `/evacuation/ZONE`: the operator stops all requests to a zone's workers (POST), and resumes them (DELETE).
class EvacuationHandler {
 public:
  EvacuationHandler(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                    UpdatePublisher& publisher);
  /// Acknowledges an order once a majority has it; a repeated order changes nothing. Throws unknownZone, noOwner,
  /// noQuorum.
  Task<CallReply> handle(ForwardedCall call);
  /// Publishes the committed records; true if one is newer than what was published.
  bool publishCommitted();
  /// True while the committed records say that a zone is evacuated.
  bool isActive(string const& zone) const;
  /// Published revision of a zone's record; 0 if the zone was never evacuated.
  std::uint64_t revisionOf(string const& zone) const;

 private:
  std::map<string, Evacuation> records() const;

  Settings const& settings_;
  ConsensusDriver& driver_;
  UpdatePublisher& publisher_;
  OwnedKeyspace keyspace_;
  AsyncMutex changes_;                         ///< serializes orders, so that each gets a revision of its own
  std::map<string, std::uint64_t> revisions_;  ///< by zone, as published
};

}  // namespace tealshelf
