#pragma once
#include "base/async_mutex.hpp"
#include "control/node_directory.hpp"
#include "control/owned_keyspace.hpp"
#include "control/worker_directory.hpp"
#include "rollouts/rollout_call.hpp"
#include "rollouts/rollout_machine.hpp"

namespace tealshelf {

/// Handles `/rollouts`: accepts the operator's orders, and moves the traffic of services in stages while this node owns
/// the keyspace of rollouts.
class RolloutHandler {
 public:
  RolloutHandler(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                 UpdatePublisher& publisher, WorkerDirectory& workers, NodeDirectory& nodes);
  void start();
  Task<CallReply> handle(ForwardedCall call);
  /// Returns the names of the configured services; nothing before there is a configuration.
  std::function<std::optional<std::set<string>>()> services;
  /// Publishes the committed records; true if one is newer than what was published.
  bool publishCommitted();

  /// True while a rollout of a service is in progress.
  bool isUnderWay(string const& service) const;
  void receive(HeartbeatMessage const& message);
  void fillHeartbeat(HeartbeatMessage& message);
  /// Status page of the rollouts, as a JSON text.
  string report() const;

 private:
  /// When this process first saw the current revision of a record.
  struct Observation {
    std::uint64_t revision = 0;
    Ms elapsed{0};  ///< time since the order, at that moment
    TimePoint at;
  };
  /// False for a question if there are no rollouts.
  Task<bool> findRollouts(bool isOrder);
  Task<CallReply> acceptOrder(RolloutOrder order, TimePoint end);
  Task<void> decideLoop();
  Task<void> decide();
  Task<void> commit(RolloutRecord record);
  std::map<string, RolloutRecord> records() const;
  /// Time since the order of a record's rollout.
  Ms elapsedSinceOrder(RolloutRecord const& record, TimePoint now) const;
  Ms timeInStage(RolloutRecord const& record, TimePoint now) const;
  RolloutInputs inputsFor(RolloutRecord const& record, TimePoint now) const;
  vector<VersionTally> evidence() const;
  /// Judges by all evidence and by the recent evidence, as a fault may begin late.
  VersionJudgement judge(RolloutRecord const& record, TimePoint now) const;
  void snapshotEvidence(TimePoint now);
  void recordObservations(TimePoint now);

  asio::io_context& io_;
  Settings const& settings_;
  ConsensusDriver& driver_;
  UpdatePublisher& publisher_;
  WorkerDirectory& workers_;
  NodeDirectory& nodes_;
  OwnedKeyspace keyspace_;
  RolloutPlan plan_;
  VersionEvidence localEvidence_;                        ///< from data-plane nodes that request updates here
  std::map<NodeId, vector<VersionTally>> peerEvidence_;  ///< from other control nodes
  struct EvidenceSnapshot {
    TimePoint at;
    vector<VersionTally> tallies;
  };
  std::deque<EvidenceSnapshot> evidenceSnapshots_;  ///< recent snapshots, the oldest first
  std::map<string, Observation> observations_;      ///< by service
  TimePoint startedAt_ = Clock::now();
  AsyncMutex changes_;  ///< serializes changes of records
};

}  // namespace tealshelf
