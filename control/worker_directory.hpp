#pragma once
#include "consensus/consensus_driver.hpp"
#include "control/messages.hpp"
#include "tenants/warm_up_allowance.hpp"
#include "updates/update_publisher.hpp"
#include "workers/outlier_detector.hpp"
#include "workers/worker_registry.hpp"

namespace tealshelf {

/// Handles `/servers/ID`, the heartbeats of workers. Keeps the registry of workers on this node's disk, synchronizes it
/// with the other control nodes by heartbeats, and publishes it to the data plane.
class WorkerDirectory {
 public:
  WorkerDirectory(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                  UpdatePublisher& publisher);
  Task<CallReply> handle(ForwardedCall call);
  /// From now on replies don't direct heartbeats of workers to this node.
  void stop() { stopping_ = true; }

  /// Merges the workers that another control node reports; true if something changed. If its registry stays different
  /// from this one, the difference is fetched.
  bool receive(HeartbeatMessage const& message, TimePoint now);
  void fillHeartbeat(HeartbeatMessage& message, bool isExtra);
  /// The buckets of this registry that differ from the requester's.
  RegistryDifference differenceFor(CompareRegistry const& request) const;

  /// Writes changed workers to the log, without waiting for the disk, and to the published table.
  void publishRows();
  /// Marks workers without recent heartbeats as lost; true if there is one.
  bool expire() { return registry_.expire(Clock::now()); }
  /// Ejects workers that fail more than others of their service, and readmits ejected ones; true if something changed.
  bool evaluateOutliers();
  /// True once the registries of a majority are merged, or all live workers had time to send a heartbeat.
  bool isComplete() const;
  /// Number of live workers of a service that accept requests, by version.
  std::map<string, std::size_t> versionsOf(string const& service) const;
  /// The workers of a service in one zone that accept requests.
  struct ZoneCount {
    std::uint64_t workers = 0, slots = 0;
  };
  std::map<string, ZoneCount> zonesOf(string const& service) const;
  /// Limits on what all nodes together may send to each worker that is or may be warming up, by worker id.
  std::map<string, RateAllowance> warmUpLimits(Configuration const& configuration) const;
  /// Returns the revision of a zone's evacuation; 0 for none.
  std::function<std::uint64_t(string const& zone)> evacuationRevision;
  /// Called when the registry has changed.
  std::function<void()> onChange;

 private:
  /// Replies of the other control nodes to a notification about a worker.
  struct PeerReplies {
    PeerReplies(asio::io_context& io, Ms limit) : timer(io, limit) {}
    asio::steady_timer timer;  ///< expires at the timeout; cancelled once no reply is outstanding
    std::size_t outstanding = 0, acknowledged = 0;
  };

  Worker workerFrom(ForwardedCall const& call, string const& id) const;
  /// Notifies the other control nodes of a worker.
  std::shared_ptr<PeerReplies> notifyPeers(Worker worker);
  /// The same for a worker that leaves; throws ErrorCode::notReady unless a majority knows of it. Once acknowledged, no
  /// data-plane node may send to the worker, even if this node is partitioned and hasn't noticed yet.
  Task<void> notifyMajority(Worker worker);
  /// The control node to which a worker should send its next heartbeats: one of its zone if there is one.
  std::optional<Address> registrarFor(Worker const& worker) const;
  /// True if this registry has the same digest as that of a heartbeat's sender.
  bool matchesRegistryOf(HeartbeatMessage const& message) const;
  /// Counts a heartbeat with a different registry, and fetches the difference if that is due.
  void handleMismatch(Member const& sender, TimePoint now);
  Task<void> fetchDifference(Member sender);
  void replayLog();
  void recordChanges();
  NodeId self() const { return driver_.consensus().self().id; }

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  ConsensusDriver& driver_;
  UpdatePublisher& publisher_;
  WorkerRegistry registry_;
  OutlierDetector outliers_;
  std::unique_ptr<DurableLog> log_;   ///< null without a disk
  std::set<NodeId> mergedFrom_;       ///< nodes whose whole registry was merged
  std::map<NodeId, int> mismatches_;  ///< consecutive heartbeats with a different registry, by sender
  bool fetching_ = false;             ///< a difference is being fetched
  TimePoint fetchedAt_;
  std::uint64_t publishedRevision_ = 0;
  std::uint64_t recordedRevision_ = 0;
  bool stopping_ = false;
  TimePoint startedAt_ = Clock::now();
};

}  // namespace tealshelf
