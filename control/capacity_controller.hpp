#pragma once
#include "control/duty_holder.hpp"
#include "control/evacuation_handler.hpp"
#include "control/worker_directory.hpp"
#include "duties/call_backoff.hpp"
#include "duties/scaling_policy.hpp"

namespace tealshelf {

/// Orders workers from the platform while this node holds the duties, as the scaling policy decides for each service
/// with scaling settings.
///
/// Runs on the io thread. Everything passed in must outlive it.
class CapacityController {
 public:
  CapacityController(asio::io_context& io, Settings const& settings, DutyHolder& duties, WorkerDirectory const& workers,
                     EvacuationHandler const& evacuations);
  /// Does nothing if the settings have no scaling duty.
  void start();

  /// Returns the active configuration; null before there is one.
  std::function<std::shared_ptr<Configuration const>()> configuration;
  /// Returns the load of all nodes, by service.
  std::function<std::map<string, ServiceLoad>()> loads;
  /// True while a rollout of a service is in progress.
  std::function<bool(string const& service)> isRollingOut;

  /// The state of one service, and what the policy would decide now.
  struct View {
    string service;
    ScalingInputs inputs;
    ScalingDecision decision;
    std::map<string, std::uint64_t> ordered;  ///< workers that the platform accepted from this node, by zone
  };
  /// For the status page, also at nodes that don't hold the duties. Orders nothing.
  vector<View> views() const;

 private:
  ScalingInputs inputsFor(ServiceSettings const& service, std::map<string, ServiceLoad> const& allLoads) const;
  Task<void> orderLoop();
  Task<void> decideAll();
  /// Returns true if the platform accepted the order.
  Task<bool> order(string service, ScalingOrder order, string reason);

  asio::io_context& io_;
  Settings const& settings_;
  DutyHolder& duties_;
  WorkerDirectory const& workers_;
  EvacuationHandler const& evacuations_;
  std::map<string, ScalingPolicy> policies_;  ///< by service, for the current claim of the duties
  std::uint64_t fence_ = 0;                   ///< fencing token of that claim
  CallBackoff backoff_;
  Counter accepted_, failed_;
};

}  // namespace tealshelf
