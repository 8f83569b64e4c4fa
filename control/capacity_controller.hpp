#pragma once
#include "control/duty_holder.hpp"
#include "control/evacuation_handler.hpp"
#include "control/worker_directory.hpp"
#include "duties/call_backoff.hpp"
#include "duties/scaling_policy.hpp"

namespace tealshelf {

/// Orders workers at the platform while this node holds the duties, as the policy decides for each service whose
/// number of workers may change.
///
/// Runs on the io thread. Everything passed in must outlive it.
class CapacityController {
 public:
  CapacityController(asio::io_context& io, Settings const& settings, DutyHolder& duties, WorkerDirectory const& workers,
                     EvacuationHandler const& evacuations);
  /// Does nothing where the platform has no such duty.
  void start();

  /// Gives the configuration in force; null before there is one.
  std::function<std::shared_ptr<Configuration const>()> configuration;
  /// Gives what all nodes have to do, by service.
  std::function<std::map<string, ServiceLoad>()> loads;
  /// True while a new version of a service gets a part of its traffic.
  std::function<bool(string const& service)> isRollingOut;

  /// What is known of one service, and what the policy makes of it.
  struct View {
    string service;
    ScalingInputs inputs;
    ScalingDecision decision;
    std::map<string, std::uint64_t> ordered;  ///< that the platform took from this node, by zone
  };
  /// For those on call, also at nodes that don't hold the duties: nothing is ordered by it.
  vector<View> views() const;

 private:
  ScalingInputs inputsFor(ServiceSettings const& service, std::map<string, ServiceLoad> const& allLoads) const;
  Task<void> orderLoop();
  Task<void> decideAll();
  /// True if the platform took it.
  Task<bool> order(string service, ScalingOrder order, string reason);

  asio::io_context& io_;
  Settings const& settings_;
  DutyHolder& duties_;
  WorkerDirectory const& workers_;
  EvacuationHandler const& evacuations_;
  std::map<string, ScalingPolicy> policies_;  ///< by service, of the present claim of the duties
  std::uint64_t fence_ = 0;                   ///< of that claim
  CallBackoff backoff_;
  Counter accepted_, failed_;
};

}  // namespace tealshelf
