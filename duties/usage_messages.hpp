#pragma once
#include "wire/rpc.hpp"

/// Calls that carry the usage of tenants and the load of services to the node that reports them to the platform.
namespace tealshelf {

/// Names of the duties in the settings.
constexpr string_view usageDuty = "usage", scalingDuty = "scaling";

/// Number of a usage window: window k begins k window lengths after the start of 1970.
using WindowNumber = StrongType<std::int64_t, struct WindowNumberTag>;

struct TenantCount {
  string tenant;
  std::uint64_t requests = 0;
  MSGPACK_DEFINE(tenant, requests)
};

/// Requests of each tenant that began to run in one window.
struct WindowUsage {
  WindowNumber window;
  vector<TenantCount> counts;
  MSGPACK_DEFINE(window, counts)
};

/// The counts of one process of a data-plane node. Counts only grow, so that a repeated message changes nothing.
struct NodeUsage {
  string node;
  std::uint64_t incarnation = 0;  ///< random; new at each start of the process
  WindowNumber finalThrough;      ///< the counts of windows up to this one don't change any more
  vector<WindowUsage> windows;
  MSGPACK_DEFINE(node, incarnation, finalThrough, windows)
};

/// The load of a service at one data-plane node, or summed over several, in slots of its workers.
struct ServiceLoad {
  string service;
  double inFlight = 0;  ///< requests and lot items at workers
  double backlog = 0;   ///< further slots that queued lot items need to be done in time
  MSGPACK_DEFINE(service, inFlight, backlog)
};

/// The answer to a usage report.
struct UsageReceipt {
  std::uint64_t process = 0;   ///< incarnation of the answering node; a changed one has lost all earlier reports
  WindowNumber closedThrough;  ///< windows up to this one are committed and may be discarded
  std::int64_t clusterTimeMs = 0;
  MSGPACK_DEFINE(process, closedThrough, clusterTimeMs)
};

/// Sends a control node what changed at a data-plane node since its last report.
struct ReportUsage {
  using Reply = UsageReceipt;
  static constexpr RpcMethod method = RpcMethod::reportUsage;
  NodeUsage usage;
  vector<ServiceLoad> loads;
  MSGPACK_DEFINE(usage, loads)
};

/// Sends the holder of the duties what changed at a control node since its last report.
struct CollectUsage {
  using Reply = UsageReceipt;
  static constexpr RpcMethod method = RpcMethod::collectUsage;
  string collector;  ///< the name of the sending control node
  vector<NodeUsage> nodes;
  vector<ServiceLoad> loads;  ///< summed over the nodes that report to the collector
  MSGPACK_DEFINE(collector, nodes, loads)
};

}  // namespace tealshelf
