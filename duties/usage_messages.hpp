#pragma once
#include "wire/rpc.hpp"

/// Calls by which the use of tenants and the load of services reach the node that reports them to the platform.
namespace tealshelf {

/// Names of the duties in the settings.
constexpr string_view usageDuty = "usage", scalingDuty = "scaling";

/// Number of a window: window k begins k times the length of a window after the start of 1970.
using WindowNumber = StrongType<std::int64_t, struct WindowNumberTag>;

struct TenantCount {
  string tenant;
  std::uint64_t requests = 0;
  MSGPACK_DEFINE(tenant, requests)
};

/// Requests that began to run in one window.
struct WindowUsage {
  WindowNumber window;
  vector<TenantCount> counts;
  MSGPACK_DEFINE(window, counts)
};

/// What one process of a data-plane node counted. Counts only grow, so that a repeat changes nothing.
struct NodeUsage {
  string node;
  std::uint64_t incarnation = 0;  ///< drawn anew at each start of the process
  WindowNumber finalThrough;      ///< the counts of windows up to this one change no more
  vector<WindowUsage> windows;
  MSGPACK_DEFINE(node, incarnation, finalThrough, windows)
};

/// What a service has to do at one data-plane node, or at several together, in slots of its workers.
struct ServiceLoad {
  string service;
  double inFlight = 0;  ///< requests and items that are at workers
  double backlog = 0;   ///< slots that items in queues need beyond those, to be done in time
  MSGPACK_DEFINE(service, inFlight, backlog)
};

/// The answer to a report of usage.
struct UsageReceipt {
  std::uint64_t process = 0;   ///< of the answering node; another one has forgotten what was sent before
  WindowNumber closedThrough;  ///< windows up to this one are safe, and may be forgotten
  std::int64_t clusterTimeMs = 0;
  MSGPACK_DEFINE(process, closedThrough, clusterTimeMs)
};

/// Brings a control node what changed at a data-plane node since its last report.
struct ReportUsage {
  using Reply = UsageReceipt;
  static constexpr RpcMethod method = RpcMethod::reportUsage;
  NodeUsage usage;
  vector<ServiceLoad> loads;
  MSGPACK_DEFINE(usage, loads)
};

/// Brings the holder of the duties what changed at a control node since its last report.
struct CollectUsage {
  using Reply = UsageReceipt;
  static constexpr RpcMethod method = RpcMethod::collectUsage;
  string collector;  ///< the name of the sending control node
  vector<NodeUsage> nodes;
  vector<ServiceLoad> loads;  ///< summed over the nodes that report there
  MSGPACK_DEFINE(collector, nodes, loads)
};

}  // namespace tealshelf
