#include "edge/edge_node.hpp"

namespace tealshelf {

EdgeNode::EdgeNode(asio::io_context& io, Settings const& settings)
    : io_(io),
      settings_(settings),
      rpc_(io, Ms(settings.bounds.inTouch / 2)),
      server_(io, settings.relayAddress(settings.ip), Ms(settings.bounds.inTouch / 2)),
      view_(io, settings, rpc_, "edge", settings.relayAddress(settings.ip)),
      pools_(io, settings),
      balance_(settings),
      lotApi_(io, settings, rpc_, view_),
      readiness_(
          io, settings.readiness,
          [this](HttpCall c) -> Task<HttpReply> {
            HttpReply a;
            a.status = c.path == "/readiness" ? (view_.healthy() && !stopping_ ? 200 : 503) : 404;
            co_return a;
          },
          1u << 16, Ms(5 * settings.bounds.inTouch)),
      acceptor_(io) {}

void EdgeNode::start() {
  view_.start(server_);
  server_.start();
  readiness_.start();
  tcp::endpoint const p(asio::ip::make_address(settings_.outside.ip),
                        static_cast<std::uint16_t>(settings_.outside.port));
  acceptor_.open(p.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(p);
  acceptor_.listen(1024);
  spawnTask(io_, "listener", take());
  spawnTask(io_, "sweep", sweepLoop());
  logInfo("edge", settings_.nodeName + " serves clients at " + settings_.outside.text());
}

void EdgeNode::stop() {
  stopping_ = true;
  for (ClientConnection* const p : idle_) {
    error_code e;
    p->sock.shutdown(tcp::socket::shutdown_both, e);
  }
}

Task<void> EdgeNode::sweepLoop() {
  for (;;) {
    co_await sleepFor(Ms(settings_.bounds.inTouch / 2));
    pools_.sweep(view_);
    balance_.sweep(view_);
  }
}

Task<void> EdgeNode::take() {
  while (acceptor_.is_open()) {
    error_code e;
    tcp::socket s = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, e));
    if (e) {
      if (e == asio::error::operation_aborted) co_return;
      co_await sleepFor(Ms(10));
      continue;
    }
    spawnTask(io_, "client", serve(std::make_shared<ClientConnection>(std::move(s))));
  }
}

Task<void> EdgeNode::serve(ConnectionPtr p) {
  setSocketOptions(p->sock, Ms(2 * settings_.bounds.inTouch));
  error_code e;
  while (p->keep && p->sock.is_open()) {
    std::shared_ptr<Configuration const> const c = view_.configuration();
    ClientLimits const lim = c ? c->limits : ClientLimits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(lim.maxHeaderBytes));
    parser.body_limit(lim.maxBodyBytes);
    bool timeUp = false;
    {
      SocketDeadline g(io_, p->sock);
      if (!p->buf.size()) {
        g.expireAt(Clock::now() + Ms(lim.idleLimit));
        idle_.insert(p.get());
        co_await p->sock.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, e));
        idle_.erase(p.get());
        if (e || g.expired()) break;
      }
      g.expireAt(Clock::now() + Ms(lim.headerWait));
      co_await http::async_read_header(p->sock, p->buf, parser, asio::redirect_error(asio::use_awaitable, e));
      if (!e) {
        g.expireAt(Clock::now() + Ms(lim.idleLimit));
        co_await http::async_read(p->sock, p->buf, parser, asio::redirect_error(asio::use_awaitable, e));
      }
      timeUp = g.expired();
    }
    if (timeUp || !p->sock.is_open()) break;
    if (e) {
      p->keep = false;
      if (e == http::error::header_limit)
        co_await answer(p, Error(ErrorCode::headersTooLong));
      else if (e == http::error::body_limit)
        co_await answer(p, Error(ErrorCode::bodyTooLong));
      else if (e != http::error::end_of_stream &&
               e.category() == http::make_error_code(http::error::end_of_stream).category())
        co_await answer(p, Error(ErrorCode::badHeaders));
      break;
    }
    ++live_;
    p->headSent = false;
    p->keep = parser.get().keep_alive() && !stopping_;
    bool ok = false;
    try {
      ok = co_await request(p, parser.release());
    } catch (Error const& x) {
      p->keep = false;
      logWarning("edge", x.what());
    }
    --live_;
    if (!ok) break;
  }
  p->sock.shutdown(tcp::socket::shutdown_send, e);
  p->sock.close(e);
}

Task<void> EdgeNode::answer(ConnectionPtr p, Error const& x) {
  co_await answer(p, errorReply(x));
}

Task<void> EdgeNode::answer(ConnectionPtr p, HttpReply a) {
  http::response<http::string_body> r(static_cast<http::status>(a.status), 11);
  if (!a.body.empty()) r.set(http::field::content_type, a.contentType);
  for (std::pair<string, string> const& h : a.headers) r.set(h.first, h.second);
  r.body() = std::move(a.body);
  r.keep_alive(p->keep && !stopping_);
  if (stopping_) p->keep = false;
  r.prepare_payload();
  p->headSent = true;
  error_code e;
  SocketDeadline g(io_, p->sock);
  g.expireAt(Clock::now() + Ms(5 * settings_.bounds.inTouch));
  co_await http::async_write(p->sock, r, asio::redirect_error(asio::use_awaitable, e));
  if (e) p->keep = false;
}

Plan EdgeNode::plan(Ask const& q, TimePoint now) const {
  Plan l;
  l.configuration = view_.configuration();
  l.came = now;
  beast::string_view h = q[http::field::host];
  string host(h.data(), h.size());
  if (std::size_t const c = host.find(':'); c != string::npos) host.resize(c);
  beast::string_view const t = q.target();
  l.route = l.configuration ? l.configuration->findRoute(host, string_view(t.data(), t.size())) : nullptr;
  beast::string_view const id = q["Attempt-Id"];
  l.attempt = string(id.data(), id.size());
  if (!l.route) return l;
  Route const& m = *l.route;
  beast::string_view const tl = q["Time-Left-Ms"];
  std::int64_t span = m.timeLimit.count();
  if (std::optional<std::uint64_t> const given = parseNumber(string_view(tl.data(), tl.size())))
    span = std::min<std::int64_t>(span, static_cast<std::int64_t>(*given));
  l.deadline = now + Ms(span);
  l.service = m.serviceFor(hash64(l.attempt));
  l.tries = m.tries;
  l.mayRepeat = m.mayRepeat();
  l.streams = m.kind == RouteKind::streaming;
  l.want.service = l.service;
  beast::string_view const ps = q["Prompt-Start"];
  vector<string> const parts = split(string_view(ps.data(), ps.size()), ',');
  string key;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    std::size_t const c = parts[i].find(':');
    if (c == string::npos) continue;
    std::optional<std::uint64_t> const tokens = parseNumber(string_view(parts[i]).substr(c + 1));
    if (!tokens) continue;
    std::uint64_t const n = *tokens;
    l.want.tokens += n;
    if (i + 1 < parts.size()) {
      l.want.sharedTokens += n;
      key += parts[i];
    }
  }
  l.want.key = hash64(key);
  return l;
}

double EdgeNode::retryAfter(Plan const& l) const {
  double const aim = static_cast<double>(l.route ? l.route->target.count() : settings_.bounds.step.count());
  return std::max(0.02, aim / 4000.0);
}

Task<bool> EdgeNode::request(ConnectionPtr p, Ask q) {
  TimePoint const now = Clock::now();
  std::shared_ptr<Configuration const> c = view_.configuration();
  if (!c) {
    // Updates is due any moment after a start; a short wait spares the client a try.
    TimePoint const until = now + Ms(settings_.bounds.inTouch / 8);
    while (!view_.configuration() && Clock::now() < until) co_await sleepFor(Ms(settings_.bounds.step / 8));
    c = view_.configuration();
  }
  if (!c) {
    HttpReply a = errorReply(Error(ErrorCode::notReady));
    a.headers.emplace_back("Retry-After", "0.3");
    co_await answer(p, std::move(a));
    co_return p->keep;
  }
  string const verb(q.method_string().data(), q.method_string().size()), target(q.target().data(), q.target().size());
  beast::string_view const h = q[http::field::host];
  string host(h.data(), h.size());
  if (std::size_t const x = host.find(':'); x != string::npos) host.resize(x);
  if (lotApi_.isLotCall(*c, verb, host, target)) {
    beast::string_view const hr = q["Hold-Read-Ms"];
    std::uint64_t const hold = parseNumber(string_view(hr.data(), hr.size())).value_or(0);
    HttpReply a = co_await lotApi_.call(verb, host, target, static_cast<std::int64_t>(hold));
    co_await answer(p, std::move(a));
    co_return p->keep;
  }
  Plan l = plan(q, now);
  if (!l.route) {
    co_await answer(p, Error(ErrorCode::noRoute));
    co_return p->keep;
  }
  if (l.route->kind == RouteKind::bulk) {
    HttpReply a;
    try {
      if (verb != "POST") throw Error(ErrorCode::lotUnreadable);
      a = co_await lotApi_.handIn(*l.route, l.attempt, q.body());
    } catch (Error const& x) {
      a = errorReply(x);
    }
    co_await answer(p, std::move(a));
    co_return p->keep;
  }
  co_await carryOut(p, q, std::move(l));
  co_return p->keep;
}

Ask EdgeNode::forWorker(Ask const& q, Plan const& l, Worker const& w, EventReader const& ev) const {
  constexpr string_view own[] = {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
                                 "Trailer",    "Upgrade",    "Content-Length",   "Time-Left-Ms",      "Wanted-Server",
                                 "Expect"};
  Ask r(q.method(), q.target(), 11);
  if (q.method() == http::verb::unknown) r.method_string(q.method_string());
  for (Ask::const_iterator f = q.begin(); f != q.end(); ++f) {
    bool skip = false;
    for (string_view const o : own)
      skip = skip || beast::iequals(f->name_string(), beast::string_view(o.data(), o.size()));
    if (!skip) r.insert(f->name_string(), f->value());
  }
  r.set("Time-Left-Ms", std::to_string(std::max<std::int64_t>(1, remainingMs(l.deadline))));
  r.set("Wanted-Server", w.id);
  if (ev.any()) r.set("Last-Event-Id", std::to_string(ev.last()));
  r.body() = q.body();
  r.prepare_payload();
  return r;
}

}  // namespace tealshelf
