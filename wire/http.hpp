#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// A call at a resource of ours.
struct Call {
  string verb, path, body;
  http::fields heads;
  string head(string_view name) const {
    beast::string_view const v = heads[beast::string_view(name.data(), name.size())];
    return string(v.data(), v.size());
  }
};
struct CallAnswer {
  int status = 200;
  string body, type = "application/json";
  vector<std::pair<string, string>> heads;
};
using CallHandler = std::function<Task<CallAnswer>(Call)>;

/// Answers an error as JSON with its code.
CallAnswer answerOf(Error const& x);

/// A small server for the calls of workers, operators and the platform.
class HttpServer {
 public:
  HttpServer(asio::io_context& io, Addr at, CallHandler h, std::uint64_t bodyLimit, Ms idle);
  void start();
  void stop() {
    error_code e;
    acceptor_.close(e);
  }

 private:
  Task<void> take();
  Task<void> serve(std::shared_ptr<tcp::socket> s);
  asio::io_context& io_;
  CallHandler handler_;
  std::uint64_t bodyLimit_;
  Ms idle_;
  tcp::acceptor acceptor_;
};

/// Closes a socket when the time is up unless it is told to hold.
class Guard {
 public:
  Guard(asio::io_context& io, tcp::socket& s) : state_(std::make_shared<State>(io, s)) {}
  ~Guard() {
    state_->sock = nullptr;
    state_->timer.cancel();
  }
  Guard(Guard const&) = delete;
  void until(Moment m);
  void hold() {
    state_->timer.cancel();
    ++state_->turn;
  }
  bool fired() const { return state_->fired; }

 private:
  struct State {
    State(asio::io_context& io, tcp::socket& s) : timer(io), sock(&s) {}
    asio::steady_timer timer;
    tcp::socket* sock;
    bool fired = false;
    std::uint64_t turn = 0;
  };
  std::shared_ptr<State> state_;
};

}  // namespace tealshelf
