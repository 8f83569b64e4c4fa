#pragma once
#include "lots/lot_api.hpp"
#include "traffic/balance.hpp"
#include "traffic/exchange.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// What shall be done with a request, worked out before anything is done.
struct Plan {
  std::shared_ptr<Configuration const> configuration;
  Route const* route = nullptr;
  string service, attempt;
  TimePoint came, deadline;
  std::uint64_t tries = 1;
  bool mayRepeat = false, streams = false;
  Want want;
};

/// A client's connection.
struct ClientConnection {
  explicit ClientConnection(tcp::socket s) : sock(std::move(s)) {}
  tcp::socket sock;
  beast::flat_buffer buf;
  bool headSent = false, keep = true;
};

/// The data plane of an edge machine: takes requests in and passes them to workers.
class EdgeNode {
 public:
  EdgeNode(asio::io_context& io, Settings const& settings);
  void start();
  void stop();
  std::size_t activeRequests() const { return live_; }

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;
  Task<void> take();
  Task<void> serve(ConnectionPtr p);
  Task<bool> request(ConnectionPtr p, Ask q);
  Plan plan(Ask const& q, TimePoint now) const;
  Task<void> carryOut(ConnectionPtr p, Ask const& q, Plan plan);
  /// One worker's part of a streaming request; true once nothing more is to be done.
  Task<bool> relay(ConnectionPtr p, Plan const& plan, Exchange& x, EventReader& ev, TimePoint until);
  bool mayPass(ClientConnection const& p, Plan const& plan, Exchange const& x) const;
  Task<bool> passWhole(ConnectionPtr p, Plan const& plan, Exchange& x);
  Ask forWorker(Ask const& q, Plan const& plan, Worker const& w, EventReader const& ev) const;
  Task<void> answer(ConnectionPtr p, Error const& x);
  Task<void> answer(ConnectionPtr p, HttpReply a);
  double retryAfter(Plan const& plan) const;
  Task<void> sweepLoop();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  RpcServer server_;  ///< updates is relayed there
  FleetView view_;
  Pools pools_;
  Balance balance_;
  LotApi lotApi_;
  HttpServer readiness_;
  tcp::acceptor acceptor_;
  bool stopping_ = false;
  std::size_t live_ = 0;
  std::set<ClientConnection*> idle_;
};

}  // namespace tealshelf
