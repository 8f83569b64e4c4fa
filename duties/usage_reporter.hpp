#pragma once
#include "base/metrics.hpp"
#include "duties/cluster_clock.hpp"
#include "duties/usage_ledger.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// Counts the requests of tenants at a data-plane node, and tells a control node of them and of the node's load.
///
/// A window is kept until the holder of the duties has closed it, and is told anew to another control node, or to one
/// that was started again. Does nothing where the platform has no duties.
///
/// Runs on the io thread. Everything passed in must outlive it.
class UsageReporter {
 public:
  UsageReporter(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view);
  void start();
  /// A worker began to run a request of a tenant.
  void count(string const& tenant, TimePoint begunAt);
  /// Gives the load of this node by service.
  std::function<vector<ServiceLoad>()> loads;

 private:
  Task<void> reportLoop();
  Task<void> report();
  Task<void> reportTo(Address control);

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  FleetView& view_;
  UsageLedger ledger_;
  UsageTable table_;
  UsageTable::ProcessKey self_;
  FollowerClock time_;
  UsageSendProgress receiver_;
  Counter counted_, dropped_;
};

}  // namespace tealshelf
