#pragma once
#include "duties/service_loads.hpp"
#include "edge/edge_metrics.hpp"
#include "edge/idle_connections.hpp"
#include "edge/request_forwarder.hpp"
#include "edge/zone_prober.hpp"
#include "lots/api/lot_api.hpp"
#include "wire/listener.hpp"
#include "wire/request_reader.hpp"

namespace tealshelf {

/// The data plane of an edge machine: receives requests of clients and passes them to the forwarder or the lot API.
class EdgeNode {
 public:
  EdgeNode(asio::io_context& io, Settings const& settings);
  void start();
  /// Begins a graceful shutdown: accepts no new work and closes idle connections.
  void stop();
  /// Number of requests in progress, including those that are still being read.
  std::size_t activeRequests() const { return *activeRequests_; }
  /// Placements of requests with long shared prefixes.
  PrefixReport const& prefixes() const { return forwarder_.prefixes(); }
  /// Number of requests that failed by a fault of this node itself; expected to stay 0. Each such request is logged,
  /// counted and, if no answer has begun, answered with 502.
  std::uint64_t failedRequests() const { return failedRequests_; }

 private:
  Task<void> serve(std::shared_ptr<ClientConnection> client);
  /// Waits until a client's next request begins to arrive; false if the connection ends instead.
  Task<bool> awaitRequest(ClientConnection& client);
  /// Reads one request and answers it; true if another may follow.
  Task<bool> serveRequest(ClientConnection& client);
  /// Reads a request that has begun to arrive, within the limits of size and time; refuses it if it is malformed or
  /// there is no room for it. Nothing if it can't be served.
  Task<std::optional<HttpRequest>> receiveRequest(ClientConnection& client);
  /// Refuses a client and closes its connection.
  Task<void> refuse(ClientConnection& client, ErrorCode code);
  /// Handles a request; if that throws or leaves it without an answer, sends an error.
  Task<void> answer(ClientConnection& client, HttpRequest request);
  Task<void> handle(ClientConnection& client, HttpRequest request);
  /// Limits of the current configuration; defaults before there is one.
  ClientLimits limitsInForce() const;
  /// The configuration, after a short wait for it if need be; null if there is none yet.
  Task<std::shared_ptr<Configuration const>> awaitConfiguration(TimePoint now);
  Task<HttpReply> submitLot(RequestPlan const& plan, HttpRequest const& request);
  Task<void> reply(ClientConnection& client, HttpReply answer);
  /// True if so little of the shutdown's grace period is left that a new request might not be completed.
  bool isEndingSoon() const;
  /// True if this node can reach neither the control plane nor any other zone: other nodes should serve its clients.
  bool isIsolated() const { return !view_.isFresh() && forwarder_.isZonePartitioned(); }
  /// Logs when isolation begins and ends.
  void logIsolationChange();
  Task<void> sweepLoop();
  /// Load of the workers, by service.
  vector<ServiceLoad> loads() const;
  void sampleMetrics();
  Task<void> closeIdleLoop();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  RpcServer rpcServer_;  ///< serves update relaying
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
