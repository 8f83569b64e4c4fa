#pragma once
#include "base/metrics.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// URL path of the metrics.
constexpr string_view metricsPath = "/metrics";

/// JSON pages that a process serves in addition to its metrics, by URL path.
using StatusPages = std::map<string, std::function<string()>>;

/// Serves the metrics and status pages of a process over HTTP.
///
/// Runs on the io thread. The metrics and the io_context must outlive it.
class MetricsServer {
 public:
  /// If the port can't be bound, logs a warning and goes on: missing metrics are no reason to stop the process.
  MetricsServer(asio::io_context& io, Address const& address, Ms idleLimit, Metrics& metrics, StatusPages pages = {});
  bool isServing() const { return server_.has_value(); }
  /// The reply to a request for the metrics or a status page; throws ErrorCode::unknownPath for anything else.
  static HttpReply answer(HttpCall const& call, Metrics& metrics, StatusPages const& pages = {});

 private:
  std::optional<HttpServer> server_;
};

}  // namespace tealshelf
