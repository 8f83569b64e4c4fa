#pragma once
#include "base/metrics.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// Where a process serves its metrics.
constexpr string_view metricsPath = "/metrics";

/// Further pages that a process serves beside its metrics, as JSON, by their path.
using StatusPages = std::map<string, std::function<string()>>;

/// Serves the metrics of a process, for whoever looks at an incident.
///
/// Runs on the io thread. The metrics and the io_context must outlive it.
class MetricsServer {
 public:
  /// A port that can't be bound is logged as a warning: figures are worth no process.
  MetricsServer(asio::io_context& io, Address const& address, Ms idleLimit, Metrics& metrics, StatusPages pages = {});
  bool isServing() const { return server_.has_value(); }
  /// The answer to a call: the text at metricsPath, or a page; throws ErrorCode::unknownPath elsewhere.
  static HttpReply answer(HttpCall const& call, Metrics& metrics, StatusPages const& pages = {});

 private:
  std::optional<HttpServer> server_;
};

}  // namespace tealshelf
