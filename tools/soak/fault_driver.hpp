#pragma once
#include "tools/soak/fault_plan.hpp"
#include "tools/soak/lot_checker.hpp"
#include "tools/soak/operator_client.hpp"
#include "tools/soak/stand_in_worker.hpp"

namespace tealshelf::soak {

/// Injects faults into the processes and ends them.
class FaultDriver {
 public:
  FaultDriver(asio::io_context& io, Cluster& cluster, vector<std::unique_ptr<StandInWorker>>& workers,
              OperatorClient& operators, LotChecker const& lotChecker, Verdict& verdict);
  /// Injects the faults of an episode; returns when all of them have ended.
  Task<void> run(Episode episode);

 private:
  Task<void> runFault(Fault fault, std::shared_ptr<std::size_t> pending);
  /// Injects the fault once, from begin to end.
  Task<void> injectOnce(Fault const& fault);
  /// Sends SIGTERM, waits for the exit within the grace period, and later restarts the process.
  Task<void> runTermination(Fault const& fault);
  /// Evacuates a zone and then ends the evacuation; the zone's workers have to warm up again.
  Task<void> runEvacuation(Fault const& fault);
  Task<void> awaitAcceptedLot();
  void begin(Fault const& fault);
  void end(Fault const& fault);
  void killSimultaneously(Fault const& fault);
  void beginAtNode(Fault const& fault, ClusterNode& node);
  void endAtNode(Fault const& fault, ClusterNode& node);
  void setLinkCuts(Fault const& fault, bool cuts);

  asio::io_context& io_;
  Cluster& cluster_;
  vector<std::unique_ptr<StandInWorker>>& workers_;
  OperatorClient& operators_;
  LotChecker const& lotChecker_;
  Verdict& verdict_;
};

}  // namespace tealshelf::soak
