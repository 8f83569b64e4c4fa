#include "wire/frames.hpp"
#include "wire/http.hpp"

namespace tealshelf {

using namespace wire;

namespace {
constexpr std::size_t mostUnread = 8u << 20;  ///< answers that wait for a peer that doesn't read
constexpr std::size_t mostUnderWay = 1024;    ///< calls of one peer that are handled at once
}  // namespace

struct RpcServer::Connection {
  explicit Connection(tcp::socket s) : sock(std::move(s)) {}
  void close() {
    error_code e;
    sock.close(e);
    out.clear();
    queued = 0;
  }
  void push(string f) {
    queued += f.size();
    out.push_back(std::move(f));
  }
  tcp::socket sock;
  string welcome;  ///< goes out along with the first answer
  std::deque<string> out;
  std::size_t queued = 0, underWay = 0;
  bool writing = false;
};

RpcServer::RpcServer(asio::io_context& io, Addr at, Ms silence)
    : io_(io), at_(std::move(at)), silence_(silence), acceptor_(io) {
  tcp::endpoint const p(asio::ip::make_address(at_.ip), static_cast<std::uint16_t>(at_.port));
  acceptor_.open(p.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(p);
  acceptor_.listen(256);
}
void RpcServer::start() {
  spawn(io_, "rpc listener", take());
}

Task<void> RpcServer::take() {
  while (acceptor_.is_open()) {
    error_code e;
    tcp::socket s = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, e));
    if (e) {
      if (e == asio::error::operation_aborted) co_return;
      co_await pause(Ms(10));
      continue;
    }
    tune(s, silence_);
    spawn(io_, "rpc connection", serve(std::make_shared<Connection>(std::move(s))));
  }
}
/// Serves one connection; however the reading ends, the connection ends with it.
Task<void> RpcServer::serve(ConnectionPtr p) {
  try {
    co_await readCalls(p);
  } catch (std::exception const& x) {
    say(Level::debug, "rpc", x.what());
  }
  p->close();
}
Task<void> RpcServer::readCalls(ConnectionPtr p) {
  FrameReader r;
  Head h;
  string body;
  bool more = co_await r.next(p->sock, h, body);
  if (!more) co_return;
  LinkHello hello;
  hello.version = 0;
  if (h.sort == Sort::hello) hello = unpacked<LinkHello>(body);
  std::optional<Error> refused;
  if (hello.version != protocolVersion)
    refused = Error(Code::otherProtocol, at_.text());
  else if (hello.wanted != at_)
    refused = Error(Code::wrongProcess, at_.text() + " is not " + hello.wanted.text());
  if (refused) co_return co_await refuse(p, h.id, *refused);
  p->welcome = frame(0, 0, Sort::welcome, packed(LinkWelcome{protocolVersion, at_, incarnation_}));
  for (;;) {
    more = co_await r.next(p->sock, h, body);
    if (!more || (h.sort != Sort::call && h.sort != Sort::cast)) co_return;
    bool const cast = h.sort == Sort::cast;
    Method const m = static_cast<Method>(h.method);
    if (p->underWay < mostUnderWay) {
      ++p->underWay;
      spawn(io_, "rpc call", handle(p, h.id, m, cast, std::move(body)));
    } else if (!cast) {
      p->push(errorFrame(h.id, m, Error(Code::queueFull, at_.text())));
      spawn(io_, "rpc answers", flush(p));
    }
  }
}
/// Tells why a connection isn't served; waits a moment for its end, so that the answer isn't lost in a reset.
Task<void> RpcServer::refuse(ConnectionPtr p, std::uint64_t id, Error x) {
  Guard g(io_, p->sock);
  g.until(Clock::now() + silence_ / 4);
  string const all = errorFrame(id, Method(), x);
  error_code e;
  co_await asio::async_write(p->sock, asio::buffer(all), asio::redirect_error(asio::use_awaitable, e));
  p->sock.shutdown(tcp::socket::shutdown_send, e);
  char rest[4096];
  while (!e) co_await p->sock.async_read_some(asio::buffer(rest), asio::redirect_error(asio::use_awaitable, e));
}
/// A handler's answer as a frame's body; what isn't an Error of ours becomes one, so that no caller waits on.
Task<string> RpcServer::result(Method m, string body) {
  std::map<Method, Handler>::const_iterator const f = handlers_.find(m);
  if (f == handlers_.end()) throw Error(Code::badMessage);
  try {
    co_return co_await f->second(std::move(body));
  } catch (Error const&) {
    throw;
  } catch (std::exception const& x) {
    warn("rpc", "call " + std::to_string(static_cast<int>(m)) + ": " + x.what());
    throw Error(Code::callFailed, x.what());
  }
}
Task<void> RpcServer::handle(ConnectionPtr p, std::uint64_t id, Method m, bool cast, string body) {
  string f;
  try {
    string const r = co_await result(m, std::move(body));
    f = frame(id, static_cast<std::uint16_t>(m), Sort::reply, r);
  } catch (Error const& x) {
    f = errorFrame(id, m, x);
  }
  --p->underWay;
  if (cast || !p->sock.is_open()) co_return;
  // One answer always fits; a peer that asks on without reading is cut off.
  if (!p->out.empty() && p->queued + f.size() > mostUnread) co_return p->close();
  p->push(std::move(f));
  co_await flush(p);
}
Task<void> RpcServer::flush(ConnectionPtr p) {
  if (p->writing) co_return;
  p->writing = true;
  while (!p->out.empty() && p->sock.is_open()) {
    string all = std::exchange(p->welcome, "");
    while (!p->out.empty() && all.size() < mostAtOnce) {
      if (all.empty())
        all = std::move(p->out.front());
      else
        all += p->out.front();
      p->out.pop_front();
    }
    p->queued -= std::min(p->queued, all.size());
    error_code e;
    co_await asio::async_write(p->sock, asio::buffer(all), asio::redirect_error(asio::use_awaitable, e));
    if (e) p->close();
  }
  p->writing = false;
}

}  // namespace tealshelf
