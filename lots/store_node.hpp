#pragma once
#include "duties/usage_reporter.hpp"
#include "lots/execution/lot_runner.hpp"
#include "lots/replicas/store_metrics.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// The data plane of a storage machine: keeps replicas, holds a lease of the control nodes, and runs the lots that the
/// coordinators want it to.
class StoreNode {
 public:
  StoreNode(asio::io_context& io, Settings const& settings);
  void start();
  void stop();

 private:
  /// What is known of one control node.
  struct ControlLink {
    std::uint64_t process = 0, revision = 0;  ///< of its last reply
    TimePoint leaseGrantedAt;
    bool awaitsReply = false;
  };
  /// A replica that this store should hold and can't use.
  struct UnusableReplica {
    GenerationStamp stamp;
    TimePoint since;
  };

  Task<void> heartbeatLoop();
  Task<void> sendHeartbeat(Address to, bool withReplicas);
  StoreHeartbeat makeHeartbeat(ControlLink const& link, bool withReplicas) const;
  void applyReply(ControlLink& link, StoreHeartbeat const& sent, StoreHeartbeatReply const& reply);
  /// True while a majority of the control nodes granted this store its lease.
  bool hasLease() const;
  /// The lease was fenced: a new one is asked for, and every lot run here must be settled anew first.
  void renewLease(std::uint64_t fencedUpTo);

  /// Takes a record of a coordinator, unless a newer one is known.
  void updateRecord(LotRecord const& lot);
  void removeStaleReplica(ReplicaVersion const& replica);
  /// Brings what runs here to what the coordinators want.
  void reconcile();
  void reconcileAsPrimary(LotRecord const& lot, TimePoint now);
  void reconcileAsHolder(LotRecord const& lot, TimePoint now);
  void reconcileSealed(LotRecord const& lot, TimePoint now);
  /// Notes that a replica that this store should hold isn't there; it is reported after a grace time.
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
  std::map<LotKey, LotRecord> lots_;  ///< as their coordinators want them
  std::map<LotKey, UnusableReplica> unusable_;
  bool stopping_ = false;
  StoreMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
