#pragma once
#include "tools/soak/fault_plan.hpp"
#include "tools/soak/lot_checker.hpp"
#include "tools/soak/operator_client.hpp"
#include "tools/soak/stand_in_worker.hpp"

namespace tealshelf::soak {

/// Brings faults about on the processes, and mends them.
class FaultDriver {
 public:
  FaultDriver(asio::io_context& io, Cluster& cluster, vector<std::unique_ptr<StandInWorker>>& workers,
              OperatorClient& operators, LotChecker const& book, Verdict& verdict);
  /// Carries an episode out; returns when all of it is mended.
  Task<void> run(Episode episode);

 private:
  Task<void> runFault(Fault fault, std::shared_ptr<std::size_t> open);
  /// The fault once, from its beginning to its end.
  Task<void> injectOnce(Fault const& fault);
  /// Tells a process to end, and starts it again some time after it has.
  Task<void> runTermination(Fault const& fault);
  /// Evacuates a zone and takes it back; its workers are cold then.
  Task<void> runEvacuation(Fault const& fault);
  Task<void> awaitAcceptedLot();
  void begin(Fault const& fault);
  void end(Fault const& fault);
  void killSimultaneously(Fault const& fault);
  void beginAtNode(Fault const& fault, ClusterNode& node);
  void endAtNode(Fault const& fault, ClusterNode& node);
  void setLinkCuts(Fault const& fault, bool open);

  asio::io_context& io_;
  Cluster& cluster_;
  vector<std::unique_ptr<StandInWorker>>& workers_;
  OperatorClient& operators_;
  LotChecker const& lotChecker_;
  Verdict& verdict_;
};

}  // namespace tealshelf::soak
