#pragma once
#include "lots/desk.hpp"
#include "traffic/balance.hpp"
#include "traffic/exchange.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// What shall be done with a visit, worked out before anything is done.
struct Plan {
  std::shared_ptr<Charter const> charter;
  Match const* match = nullptr;
  string service, attempt;
  Moment came, horizon;
  std::uint64_t tries = 1;
  bool mayRepeat = false, streams = false;
  Want want;
};

/// A client's pipe.
struct ClientPipe {
  explicit ClientPipe(tcp::socket s) : sock(std::move(s)) {}
  tcp::socket sock;
  beast::flat_buffer buf;
  bool headSent = false, keep = true;
};

/// The data plane of an edge machine: takes visits in and passes them to workers.
class EdgeNode {
 public:
  EdgeNode(asio::io_context& io, Boot const& boot);
  void start();
  void stop();
  std::size_t live() const { return live_; }

 private:
  using PipePtr = std::shared_ptr<ClientPipe>;
  Task<void> take();
  Task<void> serve(PipePtr p);
  Task<bool> visit(PipePtr p, Ask q);
  Plan plan(Ask const& q, Moment now) const;
  Task<void> carryOut(PipePtr p, Ask const& q, Plan plan);
  /// One worker's part of a streaming visit; true once nothing more is to be done.
  Task<bool> relay(PipePtr p, Plan const& plan, Exchange& x, EventReader& ev, Moment until);
  Task<bool> passWhole(PipePtr p, Plan const& plan, Exchange& x);
  Ask forWorker(Ask const& q, Plan const& plan, Worker const& w, EventReader const& ev) const;
  Task<void> answer(PipePtr p, Error const& x);
  Task<void> answer(PipePtr p, CallAnswer a);
  double retryAfter(Plan const& plan) const;
  Task<void> sweepLoop();

  asio::io_context& io_;
  Boot const& boot_;
  Rpc rpc_;
  Scene scene_;
  Pools pools_;
  Balance balance_;
  LotDesk desk_;
  HttpServer readiness_;
  tcp::acceptor acceptor_;
  bool stopping_ = false;
  std::size_t live_ = 0;
  std::set<ClientPipe*> idle_;
};

}  // namespace tealshelf
