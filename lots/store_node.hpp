#pragma once
#include "duties/usage_reporter.hpp"
#include "lots/execution/lot_runner.hpp"
#include "lots/replicas/store_metrics.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// A store node: keeps replicas on its disk, renews its lease at the control nodes by heartbeats, and runs the lots of
/// which the coordinators made it the primary.
class StoreNode {
 public:
  StoreNode(asio::io_context& io, Settings const& settings);
  void start();
  void stop();

 private:
  /// The state of the heartbeats to one control node.
  struct ControlLink {
    std::uint64_t process = 0, revision = 0;  ///< from its last reply
    TimePoint leaseGrantedAt;                 ///< when the last heartbeat that it granted the lease for was sent
    bool awaitsReply = false;
  };
  /// A replica that this store should hold but that is missing, damaged or not settled.
  struct UnusableReplica {
    GenerationStamp stamp;
    TimePoint since;  ///< lies in the future while a copy may still arrive
  };

  Task<void> heartbeatLoop();
  Task<void> sendHeartbeat(Address to, bool withReplicas);
  StoreHeartbeat makeHeartbeat(ControlLink const& link, bool withReplicas) const;
  void applyReply(ControlLink& link, StoreHeartbeat const& sent, StoreHeartbeatReply const& reply);
  /// True while grants of a majority of the control nodes are current.
  bool hasLease() const;
  /// After the lease was fenced: picks a higher lease number, and stalls all runs until their replicas are settled
  /// under a new stamp.
  void renewLease(std::uint64_t fencedUpTo);

  /// Stores a record from a coordinator, unless the known one is newer.
  void updateRecord(LotRecord const& lot);
  void removeStaleReplica(ReplicaVersion const& replica);
  /// Starts, updates and stops runs so that they match the coordinators' records.
  void reconcile();
  void reconcileAsPrimary(LotRecord const& lot, TimePoint now);
  void reconcileAsHolder(LotRecord const& lot, TimePoint now);
  void reconcileSealed(LotRecord const& lot, TimePoint now);
  /// Marks a replica that this store should hold as unusable; it is reported after a grace period.
  void noteMissingReplica(LotRecord const& lot, TimePoint now);

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  RpcServer server_;
  FleetView view_;
  ReplicaStore replicas_;
  LotRunner runner_;
  UsageReporter usage_;
  StoreRef self_;
  std::uint64_t lease_;
  std::map<Address, ControlLink> controls_;
  vector<Member> controlMembers_;
  std::map<LotKey, LotRecord> lots_;  ///< newest records from the coordinators
  std::map<LotKey, UnusableReplica> unusable_;
  bool stopping_ = false;
  StoreMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
