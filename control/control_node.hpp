#pragma once
#include "control/capacity_controller.hpp"
#include "control/configuration_handler.hpp"
#include "control/control_metrics.hpp"
#include "control/duty_report.hpp"
#include "control/evacuation_handler.hpp"
#include "control/node_directory.hpp"
#include "control/retirement_handler.hpp"
#include "control/rollout_handler.hpp"
#include "control/tally_handler.hpp"
#include "control/usage_collector.hpp"
#include "control/worker_directory.hpp"
#include "tenants/quota_shard.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// One node of the control plane: owns its components, routes calls to the handler of their resource, and publishes
/// updates to the data plane.
class ControlNode {
 public:
  ControlNode(asio::io_context& io, Settings const& settings);
  void start();
  /// Hands all keyspaces over to other nodes and stops accepting calls.
  void stop();

  /// Status pages as JSON texts: rollouts, and the use of tenants' limits.
  string rolloutReport() const { return rollouts_.report(); }
  string tenantReport() const;
  /// Lots whose recovery is waiting, as a JSON text.
  string waitingLotsReport() const { return lots_.waitingLotsJson(); }
  /// The duties at the platform and the orders of workers, as a JSON text.
  string dutyReport() const { return tealshelf::dutyReport(settings_, duties_, usage_, capacity_); }
  /// The tallies, as a JSON text.
  string tallyReport() const { return tallyStore_.report(); }

 private:
  Task<HttpReply> handle(HttpCall call);
  Task<CallReply> route(ForwardedCall call);
  string retryAfterSeconds() const;
  /// Time in which a call is answered; its caller tries another node soon after.
  std::int64_t callTimeoutMs() const { return (settings_.bounds.confirmWithin / 5).count(); }
  Task<void> sweepLoop();
  void onHeartbeat(HeartbeatMessage const& message);
  void onControlStateChange();
  /// Updates the published tables from the registry and the membership, and notifies the subscribers.
  void publish();
  void publishMembers();
  /// Updates the tenants' quotas from the committed configuration and the membership.
  void updateQuotas();
  /// Updates the limits of workers that warm up from the registry.
  void updateWarmUps();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  ConsensusDriver driver_;
  LotCoordinator lots_;
  RpcServer rpcServer_;
  HttpServer httpServer_;
  UpdatePublisher publisher_;
  WorkerDirectory workers_;
  NodeDirectory nodes_;
  ConfigurationHandler configuration_;
  RetirementHandler retirements_;
  RolloutHandler rollouts_;
  EvacuationHandler evacuations_;
  TallyStore tallyStore_;
  TallyHandler tallies_;
  QuotaShard quotas_;
  CreditShard warmUps_;
  DutyHolder duties_;
  UsageCollector usage_;
  CapacityController capacity_;
  std::shared_ptr<Configuration const> quotaConfiguration_;  ///< last passed to quotas_
  MembershipNumber publishedMembership_;
  bool wasHealthy_ = false;
  bool stopping_ = false;
  ControlMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
