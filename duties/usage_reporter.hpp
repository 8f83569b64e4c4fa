#pragma once
#include "base/metrics.hpp"
#include "duties/cluster_clock.hpp"
#include "duties/usage_ledger.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// Counts the requests of tenants at a data-plane node, and reports them and the node's load to a control node.
///
/// A window is kept until the holder of the duties has closed it, and is sent again to a different or restarted control
/// node. Does nothing if no platform or no duty is configured.
///
/// Runs on the io thread. Everything passed in must outlive it.
class UsageReporter {
 public:
  UsageReporter(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view);
  void start();
  /// Counts a request of a tenant that a worker began to run.
  void count(string const& tenant, TimePoint begunAt);
  /// Returns the load of this node by service.
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
