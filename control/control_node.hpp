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

/// The control plane of one machine: puts its parts together, routes calls to the handler of their resource, and
/// publishes what the data plane shall know.
class ControlNode {
 public:
  ControlNode(asio::io_context& io, Settings const& settings);
  void start();
  /// Hands everything over and ends inside the grace.
  void stop();

  /// For those on call: the rollouts, and the use of tenants' limits, as JSON texts.
  string rolloutReport() const { return rollouts_.report(); }
  string tenantReport() const;
  /// Lots whose recovery waits, as a JSON text.
  string waitingLotsReport() const { return lots_.waitingReport(); }
  /// The duties at the platform, and the orders of workers, as a JSON text.
  string dutyReport() const { return tealshelf::dutyReport(settings_, duties_, usage_, capacity_); }
  /// The tallies, as a JSON text.
  string tallyReport() const { return tallyStore_.report(); }

 private:
  Task<HttpReply> handle(HttpCall call);
  Task<CallReply> route(ForwardedCall call);
  string retryAfterSeconds() const;
  /// Time in which a call is answered; its caller turns to another node soon after.
  std::int64_t callTimeoutMs() const { return (settings_.bounds.confirmWithin / 5).count(); }
  Task<void> sweepLoop();
  void onHeartbeat(HeartbeatMessage const& message);
  void onControlStateChange();
  /// Brings the published table up to the registry and the membership, and tells those who ask.
  void publish();
  void publishMembers();
  /// Brings the counting of requests up to the committed configuration and the membership.
  void updateQuotas();
  /// Brings the counting of requests at workers that warm up to the registry.
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
  std::shared_ptr<Configuration const> quotaConfiguration_;  ///< that quotas_ has
  MembershipNumber publishedMembership_;
  bool wasHealthy_ = false;
  bool stopping_ = false;
  ControlMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
