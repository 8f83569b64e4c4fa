#pragma once
#include "duties/service_loads.hpp"
#include "edge/edge_metrics.hpp"
#include "edge/idle_connections.hpp"
#include "edge/request_forwarder.hpp"
#include "edge/request_head.hpp"
#include "edge/zone_prober.hpp"
#include "lots/api/lot_api.hpp"
#include "wire/listener.hpp"

namespace tealshelf {

/// The data plane of an edge machine: takes requests of clients in, and hands them to the forwarder or to the lot API.
class EdgeNode {
 public:
  EdgeNode(asio::io_context& io, Settings const& settings);
  void start();
  /// Takes no new work; idle connections are closed.
  void stop();
  /// How many requests are under way, those that are still being read too.
  std::size_t activeRequests() const { return *activeRequests_; }
  /// How requests with long shared prefixes were placed.
  PrefixReport const& prefixes() const { return forwarder_.prefixes(); }
  /// Requests that this node itself failed at. Must stay 0: each that was read whole has its answer, or a part of it,
  /// once it was handled; what breaks that is logged, counted and answered with 502.
  std::uint64_t failedRequests() const { return failedRequests_; }

 private:
  Task<void> serve(std::shared_ptr<ClientConnection> client);
  using RequestParser = http::request_parser<http::string_body>;
  /// Waits until a client's next request begins to come in; false if the connection ends instead.
  Task<bool> awaitRequest(ClientConnection& client);
  /// Reads one request and answers it; true if another may follow.
  Task<bool> serveRequest(ClientConnection& client);
  /// Reads a request that has begun, and answers one that can't be read; true if it is there whole.
  Task<bool> readRequest(ClientConnection& client, RequestParser& parser);
  /// Receives a request's head into the client's buffer, up to a size; an error if none comes or it can't be read.
  static Task<error_code> receiveHead(ClientConnection& client, std::size_t maxBytes);
  /// Reads a request that has begun, within the limits.
  Task<error_code> readMessage(ClientConnection& client, RequestParser& parser, ClientLimits const& limits);
  /// Answers a request that can't be read.
  Task<void> rejectUnreadable(ClientConnection& client, error_code error);
  /// Answers a request, also if this node fails while it handles it.
  Task<void> answer(ClientConnection& client, HttpRequest request);
  Task<void> handle(ClientConnection& client, HttpRequest request);
  /// Of the configuration in force; defaults before there is one.
  ClientLimits limitsInForce() const;
  /// The configuration; null if there is none yet, also after a short wait.
  Task<std::shared_ptr<Configuration const>> awaitConfiguration(TimePoint now);
  Task<HttpReply> submitLot(RequestPlan const& plan, HttpRequest const& request);
  Task<void> reply(ClientConnection& client, HttpReply answer);
  /// True once this process ends so soon that a request taken now might be cut off.
  bool isEndingSoon() const;
  /// True if this node can reach no zone but its own, and control neither: clients are better served elsewhere.
  bool isIsolated() const { return !view_.isFresh() && forwarder_.isZonePartitioned(); }
  /// Tells the log when that begins and ends.
  void logIsolationChange();
  Task<void> sweepLoop();
  /// Requests at workers, by service.
  vector<ServiceLoad> loads() const;
  void sampleMetrics();
  Task<void> closeIdleLoop();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  RpcServer rpcServer_;  ///< updates are relayed there
  FleetView view_;
  bool stopping_ = false, wasIsolated_ = false;
  TimePoint stoppedAt_;
  QuotaClient quotas_;
  UsageReporter usage_;
  RequestForwarder forwarder_;
  ZoneProber zoneProber_;
  LotApi lots_;
  HttpServer readiness_;
  std::optional<Listener> clients_;
  std::shared_ptr<std::size_t> const activeRequests_ = std::make_shared<std::size_t>(0);
  std::uint64_t failedRequests_ = 0;
  IdleConnections idle_;
  EdgeMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
