#pragma once
#include "base/async_mutex.hpp"
#include "control/owned_keyspace.hpp"
#include "fleet/evacuation.hpp"
#include "updates/update_publisher.hpp"

namespace tealshelf {

/// Handles `/evacuation/ZONE`: the operator asks that a zone's workers get nothing (POST), and withdraws that (DELETE).
class EvacuationHandler {
 public:
  EvacuationHandler(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                    UpdatePublisher& publisher);
  /// Acknowledges an order once a majority has it. Orders may be repeated. Throws unknownZone, noOwner, noQuorum.
  Task<CallReply> handle(ForwardedCall call);
  /// Publishes the committed records; true if one is newer than what was published.
  bool publishCommitted();
  /// True while a zone's workers shall get nothing, by the committed records.
  bool isActive(string const& zone) const;
  /// Revision of a zone's record as published here; 0 if the zone was never evacuated.
  std::uint64_t revisionOf(string const& zone) const;

 private:
  std::map<string, Evacuation> records() const;

  Settings const& settings_;
  ConsensusDriver& driver_;
  UpdatePublisher& publisher_;
  OwnedKeyspace keyspace_;
  AsyncMutex changes_;                         ///< two orders must not build on the same revision
  std::map<string, std::uint64_t> revisions_;  ///< by zone, as published
};

}  // namespace tealshelf
