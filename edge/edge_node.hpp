#pragma once
#include "edge/edge_metrics.hpp"
#include "edge/request_forwarder.hpp"
#include "lots/lot_api.hpp"
#include "wire/listener.hpp"

namespace tealshelf {

/// The data plane of an edge machine: takes requests of clients in, and hands them to the forwarder or to the lot API.
class EdgeNode {
 public:
  EdgeNode(asio::io_context& io, Settings const& settings);
  void start();
  /// Takes no new work; idle connections are closed.
  void stop();
  /// How many requests are under way.
  std::size_t activeRequests() const { return activeRequests_; }

 private:
  enum class ReadResult { request, answeredError, closed };
  Task<void> serve(std::shared_ptr<ClientConnection> client);
  using RequestParser = http::request_parser<http::string_body>;
  Task<ReadResult> readRequest(ClientConnection& client, RequestParser& parser, ClientLimits const& limits);
  /// Answers a request that can't be read.
  Task<void> rejectUnreadable(ClientConnection& client, error_code error);
  Task<void> handle(ClientConnection& client, HttpRequest request);
  /// The configuration; null if there is none yet, also after a short wait.
  Task<std::shared_ptr<Configuration const>> awaitConfiguration(TimePoint now);
  Task<HttpReply> submitLot(RequestPlan const& plan, HttpRequest const& request);
  Task<void> reply(ClientConnection& client, HttpReply answer);
  /// True once this process ends so soon that a request taken now might be cut off.
  bool isEndingSoon() const;
  Task<void> sweepLoop();
  void sampleMetrics();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  RpcServer rpcServer_;  ///< updates are relayed there
  FleetView view_;
  bool stopping_ = false;
  TimePoint stoppedAt_;
  RequestForwarder forwarder_;
  LotApi lots_;
  HttpServer readiness_;
  std::optional<Listener> clients_;
  std::size_t activeRequests_ = 0;
  std::set<ClientConnection*> idle_;
  EdgeMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
