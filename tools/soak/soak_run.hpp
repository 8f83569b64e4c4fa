#pragma once
#include "tools/soak/fault_driver.hpp"
#include "tools/soak/final_checks.hpp"
#include "tools/soak/keep_alive_client.hpp"
#include "tools/soak/tally_client.hpp"

namespace tealshelf::soak {

/// One run with one seed: start, traffic under faults, recovery, final checks.
class SoakRun {
 public:
  explicit SoakRun(Options const& options);
  /// Executes the run; true if it passed.
  bool run();
  /// Kills all processes of the run.
  void stop() { cluster_.stopAll(); }

 private:
  Task<void> runAll();
  Task<bool> startUp();
  Task<void> runFaults();
  Task<void> repair(bool beyondSurvive);
  Task<void> stopClients();
  Task<void> checkUsageIsReported(TimePoint until);
  void startClients();
  void makeWorkers();

  Options options_;
  string directory_;
  asio::io_context io_{1};
  Verdict verdict_;
  AddressBlock block_;
  Cluster cluster_;
  Ledger ledger_;
  LotChecker lotChecker_;
  vector<std::unique_ptr<StandInWorker>> workers_;
  OperatorClient operators_;
  RequestClient requests_;
  KeepAliveClient keepAliveClients_;
  EdgeProbe probe_;
  TallyClient tallies_;
  SelfTest selfTest_;
  LotClient lots_;
  FaultDriver faults_;
  FinalChecks checks_;
};

}  // namespace tealshelf::soak
