#pragma once
#include "base/async_mutex.hpp"
#include "configuration/change_decision.hpp"
#include "configuration/configuration.hpp"
#include "control/owned_keyspace.hpp"
#include "updates/update_publisher.hpp"

namespace tealshelf {

/// Handles `/settings`: the operator reads and changes the configuration.
class ConfigurationHandler {
 public:
  ConfigurationHandler(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                       UpdatePublisher& publisher);
  Task<CallReply> handle(ForwardedCall call);
  /// Passes the newest committed configuration to the publisher; true if it is newer than the published one.
  bool publishCommitted();
  /// The published configuration; null before there is one.
  std::shared_ptr<Configuration const> published() const { return published_; }

 private:
  Task<CallReply> read(TimePoint end);
  Task<CallReply> change(ForwardedCall call, TimePoint end);
  /// Delays the first configuration until the membership survives the required losses, or for `inTouch` from the start.
  Task<void> awaitFirstMembership(TimePoint end);
  Task<void> apply(ChangeDecision decision, Epoch epoch);

  Settings const& settings_;
  ConsensusDriver& driver_;
  UpdatePublisher& publisher_;
  OwnedKeyspace keyspace_;
  AsyncMutex changes_;  ///< serializes deciding and writing of changes
  UndecidedChange undecided_;
  std::shared_ptr<Configuration const> published_;
  TimePoint startedAt_ = Clock::now();
};

}  // namespace tealshelf
