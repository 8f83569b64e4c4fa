#pragma once
#include "base/metrics.hpp"

namespace tealshelf {

/// Metrics of an edge node.
struct EdgeMetrics {
  Counter requests = metrics().counter("tealshelf_edge_requests_total", "Requests that were read whole.");
  Gauge activeRequests = metrics().gauge("tealshelf_edge_active_requests", "Requests that are under way.");
  Gauge hasConfiguration = metrics().gauge("tealshelf_edge_has_configuration", "1 once the configuration is known.");
  Gauge isolated = metrics().gauge("tealshelf_edge_isolated", "1 if no other zone and no control node can be reached.");
};

/// Metrics of requests that the forwarder of an edge node failed to complete.
struct ForwardMetrics {
  Counter truncatedAnswers = metrics().counter("tealshelf_edge_cut_off_total", "Connections closed inside an answer.");
  Counter unreachableWorkers =
      metrics().counter("tealshelf_edge_unreached_workers_total", "Silent workers that took no new connection either.");
  Counter failed = metrics().counter("tealshelf_edge_failed_total", "Requests that no worker answered.");
};

}  // namespace tealshelf
