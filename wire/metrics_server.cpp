#include "wire/metrics_server.hpp"

namespace tealshelf {

namespace {
constexpr std::uint64_t maxCallBytes = 1u << 16;
constexpr char const* textFormat = "text/plain; version=0.0.4; charset=utf-8";
}  // namespace

MetricsServer::MetricsServer(asio::io_context& io, Address const& address, Ms idleLimit, Metrics& metrics,
                             StatusPages pages) {
  HttpHandler const handler = [&metrics, pages = std::move(pages)](HttpCall call) -> Task<HttpReply> {
    co_return answer(call, metrics, pages);
  };
  try {
    server_.emplace(io, address, handler, maxCallBytes, idleLimit, PeerKind::probe);
  } catch (boost::system::system_error const& error) {
    logWarning("metrics", "metrics are not served: " + address.text() + " can't be bound: " + error.what());
    return;
  }
  server_->start();
}

HttpReply MetricsServer::answer(HttpCall const& call, Metrics& metrics, StatusPages const& pages) {
  auto const page = pages.find(call.path);
  bool const isKnown = call.path == metricsPath || page != pages.end();
  if (call.verb != "GET" || !isKnown) throw Error(ErrorCode::unknownPath, call.path);
  HttpReply reply;
  if (page != pages.end()) {
    reply.body = page->second();
    return reply;
  }
  reply.body = metrics.text();
  reply.contentType = textFormat;
  return reply;
}

}  // namespace tealshelf
