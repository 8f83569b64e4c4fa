#include "wire/http.hpp"

#include "wire/rpc.hpp"

namespace tealshelf {

void Guard::until(Moment m) {
  std::shared_ptr<State> const s = state_;
  std::uint64_t const turn = ++s->turn;
  s->timer.expires_at(m);
  s->timer.async_wait([s, turn](error_code e) {
    if (e || turn != s->turn || !s->sock) return;
    s->fired = true;
    error_code x;
    s->sock->close(x);
  });
}

CallAnswer answerOf(Error const& x) {
  CallAnswer a;
  a.status = x.status();
  a.body = "{\"error\":\"E" + std::to_string(static_cast<int>(x.code())) + "\",\"message\":\"" +
           string(lineOf(x.code()).text) + "\"}";
  return a;
}

HttpServer::HttpServer(asio::io_context& io, Addr at, CallHandler h, std::uint64_t bodyLimit, Ms idle)
    : io_(io), handler_(std::move(h)), bodyLimit_(bodyLimit), idle_(idle), acceptor_(io) {
  tcp::endpoint const p(asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port));
  acceptor_.open(p.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(p);
  acceptor_.listen(512);
}
void HttpServer::start() {
  spawn(io_, "http listener", take());
}

Task<void> HttpServer::take() {
  while (acceptor_.is_open()) {
    error_code e;
    tcp::socket s = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, e));
    if (e) {
      if (e == asio::error::operation_aborted) co_return;
      co_await pause(Ms(10));
      continue;
    }
    spawn(io_, "http connection", serve(std::make_shared<tcp::socket>(std::move(s))));
  }
}

Task<void> HttpServer::serve(std::shared_ptr<tcp::socket> s) {
  tune(*s, idle_);
  beast::flat_buffer buf;
  Guard g(io_, *s);
  error_code e;
  for (;;) {
    http::request_parser<http::string_body> p;
    p.body_limit(bodyLimit_);
    g.until(Clock::now() + idle_);
    co_await http::async_read(*s, buf, p, asio::redirect_error(asio::use_awaitable, e));
    g.hold();
    CallAnswer a;
    bool keep = false;
    unsigned version = 11;
    if (e == http::error::body_limit)
      a = answerOf(Error(Code::bodyTooLong));
    else if (e == http::error::end_of_stream || !s->is_open() || g.fired())
      break;
    else if (e && e.category() != http::make_error_code(http::error::end_of_stream).category())
      break;
    else if (e)
      a = answerOf(Error(Code::badHead));
    else {
      http::request<http::string_body>& q = p.get();
      keep = q.keep_alive();
      version = q.version();
      Call c{string(q.method_string().data(), q.method_string().size()), string(q.target().data(), q.target().size()),
             std::move(q.body()), std::move(q.base())};
      try {
        a = co_await handler_(std::move(c));
      } catch (Error const& x) {
        a = answerOf(x);
      } catch (std::exception const& x) {
        warn("http", x.what());
        a.status = 500;
        a.body = "{}";
      }
    }
    http::response<http::string_body> r(static_cast<http::status>(a.status), version);
    if (!a.body.empty()) r.set(http::field::content_type, a.type);
    for (std::pair<string, string> const& h : a.heads) r.set(h.first, h.second);
    r.body() = std::move(a.body);
    r.keep_alive(keep);
    r.prepare_payload();
    g.until(Clock::now() + idle_);
    co_await http::async_write(*s, r, asio::redirect_error(asio::use_awaitable, e));
    g.hold();
    if (e || !keep) break;
  }
  s->shutdown(tcp::socket::shutdown_both, e);
  s->close(e);
}

}  // namespace tealshelf
