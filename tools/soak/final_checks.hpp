#pragma once
#include "tools/soak/edge_probe.hpp"
#include "tools/soak/lot_client.hpp"

namespace tealshelf::soak {

/// Checks that must pass once all faults have ended. Each is retried until it passes or its deadline expires.
class FinalChecks {
 public:
  FinalChecks(asio::io_context& io, Cluster& cluster, OperatorClient& operators, RequestClient& requests,
              EdgeProbe& probe, LotClient& lots, LotChecker& lotChecker, Verdict& verdict);
  Task<void> run();

 private:
  Task<void> checkConfiguration(TimePoint until);
  Task<void> checkRequests(TimePoint until);
  Task<void> checkLotsFinish(TimePoint until);
  Task<void> checkLotsAt(ClusterNode& edge, TimePoint until, std::shared_ptr<std::size_t> pending);
  Task<void> checkLotAt(Lot& lot, ClusterNode& edge, TimePoint until);
  Task<void> checkBodiesAt(Lot& lot, ClusterNode& edge, TimePoint until);

  asio::io_context& io_;
  Cluster& cluster_;
  OperatorClient& operators_;
  RequestClient& requests_;
  EdgeProbe& probe_;
  LotClient& lots_;
  LotChecker& lotChecker_;
  Verdict& verdict_;
};

}  // namespace tealshelf::soak
