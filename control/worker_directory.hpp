#pragma once
#include "consensus/consensus_driver.hpp"
#include "control/messages.hpp"
#include "tenants/warm_up_allowance.hpp"
#include "updates/update_publisher.hpp"
#include "workers/outlier_detector.hpp"
#include "workers/worker_registry.hpp"

namespace tealshelf {

/// Handles `/servers/ID`, the heartbeats of workers, and keeps the registry of workers: on this node's disk, at the
/// other control nodes by way of their heartbeats, and in what is published to the data plane.
class WorkerDirectory {
 public:
  WorkerDirectory(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                  UpdatePublisher& publisher);
  Task<CallReply> handle(ForwardedCall call);
  /// No more heartbeats are directed to this node.
  void stop() { stopping_ = true; }

  /// Takes in what another control node says of workers; true if something changed. If its registry stays another one
  /// than this, what differs is fetched from it.
  bool receive(HeartbeatMessage const& message, TimePoint now);
  void fillHeartbeat(HeartbeatMessage& message, bool isExtra);
  /// What this registry has in the buckets in which the asker's differs.
  RegistryDifference differenceFor(CompareRegistry const& request) const;

  /// Puts changed workers on the disk, without waiting, and in the published table.
  void publishRows();
  /// Marks workers as lost whose heartbeats are missing; true if there is one.
  bool expire() { return registry_.expire(Clock::now()); }
  /// Ejects workers that fail more than their like, and takes ejected ones back; true if something changed.
  bool evaluateOutliers();
  /// True once the registries of a majority are in this one, or all live workers have sent a heartbeat.
  bool isComplete() const;
  /// Live workers of a service that take requests, by version.
  std::map<string, std::size_t> versionsOf(string const& service) const;
  /// The workers of a service in one zone that take requests.
  struct ZoneCount {
    std::uint64_t workers = 0, slots = 0;
  };
  std::map<string, ZoneCount> zonesOf(string const& service) const;
  /// What all nodes together may send to each worker that warms up, or may do so, by its id.
  std::map<string, RateAllowance> warmUpLimits(Configuration const& configuration) const;
  /// Gives the revision of a zone's evacuation, 0 for none.
  std::function<std::uint64_t(string const& zone)> zoneRevision;
  /// Called when the registry changed.
  std::function<void()> onChange;

 private:
  /// What the other control nodes answer to news of a worker.
  struct PeerReplies {
    PeerReplies(asio::io_context& io, Ms limit) : timer(io, limit) {}
    asio::steady_timer timer;  ///< ends when the time is up, or no answer is outstanding
    std::size_t outstanding = 0, acknowledged = 0;
  };

  Worker workerFrom(ForwardedCall const& call, string const& id) const;
  /// Tells the other control nodes of a worker.
  std::shared_ptr<PeerReplies> notifyPeers(Worker worker);
  /// The same for a worker that leaves: throws ErrorCode::notReady unless a majority knows of it. An acknowledgement
  /// binds every data-plane node, also if this node is being cut off and doesn't know it yet.
  Task<void> notifyMajority(Worker worker);
  /// Where the next heartbeats of a worker should go: a control node of its zone if there is one.
  std::optional<Address> registrarFor(Worker const& worker) const;
  /// True if this registry and that of a heartbeat's sender are the same.
  bool matchesRegistryOf(HeartbeatMessage const& message) const;
  /// Notes that a sender's registry differs, and has the difference fetched once that is due.
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
  std::set<NodeId> mergedFrom_;       ///< nodes whose whole registry was taken in
  std::map<NodeId, int> mismatches_;  ///< heartbeats in a row with another registry
  bool fetching_ = false;             ///< a difference is being fetched
  TimePoint fetchedAt_;
  std::uint64_t publishedRevision_ = 0;
  std::uint64_t recordedRevision_ = 0;
  bool stopping_ = false;
  TimePoint startedAt_ = Clock::now();
};

}  // namespace tealshelf
