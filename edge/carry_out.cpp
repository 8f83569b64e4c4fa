#include "edge/edge_node.hpp"

namespace tealshelf {

namespace {
bool ofOneConnection(beast::string_view n) {
  constexpr string_view own[] = {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
                                 "TE",         "Trailer",    "Upgrade",          "Content-Length"};
  for (string_view const o : own)
    if (beast::iequals(n, beast::string_view(o.data(), o.size()))) return true;
  return false;
}
}  // namespace

/// True if a worker's answer may go to the client as it is. 408, 421, 429 and 503 would promise that the
/// request never runs, which the worker didn't say; a success counts only with the worker's seal; and
/// nothing but more events may follow a stream's head.
bool EdgeNode::mayPass(ClientConnection const& p, Plan const& l, Exchange const& x) const {
  int const s = x.status();
  if (s == 408 || s == 421 || s == 429 || s == 503) return false;
  if (s < 300 && !x.sealed()) return false;
  return !p.headSent || (l.streams && s == 200);
}

Task<void> EdgeNode::carryOut(ConnectionPtr p, Ask const& q, Plan l) {
  std::set<string> tried;
  std::uint64_t sends = 0;
  bool mayHaveRun = false;
  EventReader ev;
  ErrorCode why = ErrorCode::noWorker;
  int rounds = 0;
  while (sends < l.tries && Clock::now() < l.deadline) {
    Worker const* w = balance_.pick(view_, l.want, tried);
    if (!w && rounds == 0 && !p->headSent) {
      // Everyone was tried; a short wait, then one more round, while there is time inside the aim.
      if (++rounds > 1 || Clock::now() - l.came > Ms(l.route->target / 4)) break;
      tried.clear();
      co_await sleepFor(std::max(Ms(1), l.route->target / 20));
      continue;
    }
    if (!w) break;
    string const id = w->id;
    tried.insert(id);
    Ask const ask = forWorker(q, l, *w, ev);
    Exchange x(pools_, *w, l.mayRepeat);
    std::uint64_t const unread = l.want.tokens - l.want.sharedTokens;
    balance_.began(id, unread);
    Verdict const v = co_await x.start(ask, l.attempt, l.deadline);
    balance_.first(id, unread);
    bool over = false;
    logDebug("request", l.attempt + " at " + id + " verdict " + std::to_string(static_cast<int>(v)) +
                            (v == Verdict::answered ? " status " + std::to_string(x.status()) : ""));
    switch (v) {
      case Verdict::notSent:
        balance_.broke(id, true);
        view_.tally(id, false);
        why = ErrorCode::noWorker;
        break;
      case Verdict::notRun:
        ++sends;
        if (x.status() == 503 || x.status() == 429) {
          balance_.full(id);
          // One that sheds while it has free slots is ill, whatever it says of its health.
          std::optional<std::array<std::uint64_t, 3>> const b = x.load();
          if (b && (*b)[0] < (*b)[2] / 2) view_.tally(id, false);
        } else
          balance_.broke(id, true);
        why = ErrorCode::workersFull;
        break;
      case Verdict::unclear:
        ++sends;
        balance_.broke(id, x.fresh());
        if (x.fresh()) view_.tally(id, false);
        mayHaveRun = true;
        why = ErrorCode::workerFailed;
        over = !l.mayRepeat;
        break;
      case Verdict::timeUp:
        if (l.deadline - l.came > Ms(4 * l.route->target)) view_.tally(id, false);
        mayHaveRun = true;
        why = ErrorCode::deadlineExceeded;
        over = true;
        break;
      case Verdict::answered: {
        ++sends;
        if (std::optional<std::array<std::uint64_t, 3>> const b = x.load()) balance_.told(id, *b);
        int const s = x.status();
        if (s >= 500) view_.tally(id, false);
        bool const again = l.mayRepeat && s >= 500 && sends < l.tries;
        bool const passes = !again && mayPass(*p, l, x);
        bool ended = false;
        if (passes && l.streams && s == 200)
          ended = co_await relay(p, l, x, ev, l.deadline);
        else if (passes)
          ended = co_await passWhole(p, l, x);
        if (!ended) {
          if (passes) balance_.broke(id, false);
          if (passes) view_.tally(id, false);
          x.cut();
          mayHaveRun = true;
          why = ErrorCode::workerFailed;
          over = !l.mayRepeat;
          break;
        }
        balance_.ended(id);
        if (p->keep && s < 500) {
          balance_.well(id);
          view_.tally(id, true);
        }
        co_return;
      }
    }
    balance_.ended(id);
    if (over) break;
  }
  if (p->headSent) {
    // The answer is under way and can't be ended well: it must not look complete.
    p->keep = false;
    error_code e;
    p->sock.close(e);
    co_return;
  }
  if (mayHaveRun) {
    if (Clock::now() >= l.deadline)
      why = ErrorCode::deadlineExceeded;
    else if (errorInfo(why).kind == ErrorKind::rejected)
      why = ErrorCode::workerFailed;
    co_await answer(p, Error(why));
    co_return;
  }
  HttpReply a = errorReply(Error(Clock::now() >= l.deadline ? ErrorCode::deadlinePassed : why));
  char t[32];
  std::snprintf(t, sizeof t, "%.3f", retryAfter(l));
  a.headers.emplace_back("Retry-After", t);
  co_await answer(p, std::move(a));
}

/// Takes a short answer whole, then passes it on; false if the worker broke it off.
Task<bool> EdgeNode::passWhole(ConnectionPtr p, Plan const& l, Exchange& x) {
  string body;
  Piece s = Piece::some;
  while (s == Piece::some) s = co_await x.read(body, l.deadline);
  if (s == Piece::broken) co_return false;
  http::response<http::string_body> r(static_cast<http::status>(x.status()), 11);
  r.result(static_cast<unsigned>(x.status()));
  for (http::fields::const_iterator f = x.head().begin(); f != x.head().end(); ++f)
    if (!ofOneConnection(f->name_string())) r.insert(f->name_string(), f->value());
  x.done();
  r.body() = std::move(body);
  p->keep = p->keep && !stopping_;
  r.keep_alive(p->keep);
  r.prepare_payload();
  p->headSent = true;
  error_code e;
  SocketDeadline g(io_, p->sock);
  g.expireAt(Clock::now() + Ms(5 * settings_.bounds.inTouch));
  co_await http::async_write(p->sock, r, asio::redirect_error(asio::use_awaitable, e));
  if (e) p->keep = false;
  co_return true;
}

Task<bool> EdgeNode::relay(ConnectionPtr p, Plan const&, Exchange& x, EventReader& ev, TimePoint until) {
  error_code e;
  bool const first = !p->headSent;
  if (first) {
    http::response<http::empty_body> r(static_cast<http::status>(x.status()), 11);
    for (http::fields::const_iterator f = x.head().begin(); f != x.head().end(); ++f)
      if (!ofOneConnection(f->name_string())) r.insert(f->name_string(), f->value());
    p->keep = p->keep && !stopping_;
    r.keep_alive(p->keep);
    r.chunked(true);
    p->headSent = true;
    http::response_serializer<http::empty_body> z(r);
    co_await http::async_write_header(p->sock, z, asio::redirect_error(asio::use_awaitable, e));
    if (e) {
      x.cut();
      p->keep = false;
      co_return true;
    }
  }
  SocketDeadline g(io_, p->sock);
  Piece s = Piece::some;
  string body;
  while (s == Piece::some) {
    body.clear();
    s = co_await x.read(body, until);
    string const events = ev.feed(body);
    bool const whole = s == Piece::whole;
    if (whole && !ev.clean()) s = Piece::broken;
    if (events.empty() && !(s == Piece::whole)) continue;
    g.expireAt(Clock::now() + Ms(2 * settings_.bounds.inTouch));
    if (s == Piece::whole) {
      x.done();
      if (events.empty())
        co_await asio::async_write(p->sock, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, e));
      else {
        co_await asio::async_write(p->sock, http::make_chunk(asio::buffer(events)),
                                   asio::redirect_error(asio::use_awaitable, e));
        if (!e)
          co_await asio::async_write(p->sock, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, e));
      }
    } else {
      co_await asio::async_write(p->sock, http::make_chunk(asio::buffer(events)),
                                 asio::redirect_error(asio::use_awaitable, e));
    }
    g.cancel();
    if (e) {
      x.cut();
      p->keep = false;
      co_return true;
    }
  }
  if (s == Piece::whole) co_return true;
  ev.restart();
  x.cut();
  if (Clock::now() >= until) {
    p->keep = false;
    error_code y;
    p->sock.close(y);
    co_return true;
  }
  co_return false;
}

}  // namespace tealshelf
