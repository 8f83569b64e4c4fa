#include "traffic/exchange.hpp"

#include <sys/socket.h>

namespace tealshelf {

std::unique_ptr<WorkerConnection> Pools::take(Worker const& w, bool mayRepeat) {
  vector<std::unique_ptr<WorkerConnection>>& v = idle_[w.id];
  while (!v.empty()) {
    std::unique_ptr<WorkerConnection> p = std::move(v.back());
    v.pop_back();
    Moment const now = Clock::now();
    if (now >= p->keepUntil) continue;
    // The one given back last lies on top; below it are only older ones, which others may use.
    if (!mayRepeat && now - p->idleSince > age_.trusted()) {
      v.push_back(std::move(p));
      break;
    }
    char c = 0;
    ssize_t const n = ::recv(p->sock.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return p;
  }
  return std::make_unique<WorkerConnection>(io_);
}
void Pools::give(string const& id, std::unique_ptr<WorkerConnection> p) {
  p->idleSince = Clock::now();
  idle_[id].push_back(std::move(p));
}

void Pools::sweep(FleetView const& view) {
  Moment const now = Clock::now();
  for (std::map<string, vector<std::unique_ptr<WorkerConnection>>>::iterator i = idle_.begin(); i != idle_.end();) {
    std::erase_if(i->second, [&](std::unique_ptr<WorkerConnection> const& p) { return now >= p->keepUntil; });
    if (!view.find(i->first))
      i = idle_.erase(i);
    else
      ++i;
  }
}

Exchange::~Exchange() {
  guard_.reset();
  if (conn_) {
    error_code e;
    conn_->sock.close(e);
  }
}
void Exchange::cut() {
  guard_.reset();
  if (conn_) {
    error_code e;
    conn_->sock.close(e);
  }
  conn_.reset();
}

string Exchange::headText(string_view name) const {
  beast::string_view const v = head()[beast::string_view(name.data(), name.size())];
  return string(v.data(), v.size());
}

std::optional<std::array<std::uint64_t, 3>> Exchange::load() const {
  vector<string> const p = split(headText("Server-Load"), ',');
  std::array<std::uint64_t, 3> a{};
  if (p.size() != 3) return std::nullopt;
  for (int i = 0; i < 3; ++i)
    if (!readNumber(p[static_cast<std::size_t>(i)], a[static_cast<std::size_t>(i)])) return std::nullopt;
  return a;
}

Task<Verdict> Exchange::start(Ask const& q, string attempt, Moment until) {
  conn_ = pools_.take(worker_, mayRepeat_);
  fresh_ = !conn_->sock.is_open();
  if (!fresh_) idle_ = std::chrono::duration_cast<Ms>(Clock::now() - conn_->idleSince);
  guard_ = std::make_unique<Guard>(pools_.io(), conn_->sock);
  error_code e;
  if (fresh_) {
    guard_->until(std::min(until, Clock::now() + Ms(pools_.settings().bounds.inTouch / 6)));
    co_await conn_->sock.async_connect(
        {asio::ip::make_address(worker_.at.ip), static_cast<std::uint16_t>(worker_.at.port)},
        asio::redirect_error(asio::use_awaitable, e));
    if (e || guard_->fired()) {
      cut();
      co_return Verdict::notSent;
    }
    tune(conn_->sock, Ms(pools_.settings().bounds.inTouch));
  }
  guard_->until(until);
  ++conn_->uses;
  co_await http::async_write(conn_->sock, q, asio::redirect_error(asio::use_awaitable, e));
  if (e) {
    bool const f = guard_->fired();
    if (!fresh_ && !f) pools_.age().reset(idle_);
    cut();
    co_return f ? Verdict::timeUp : Verdict::unclear;
  }
  for (int i = 0; i < 4; ++i) {
    parser_.emplace();
    parser_->body_limit(std::uint64_t{1} << 40);
    parser_->header_limit(64u << 10);
    co_await http::async_read_header(conn_->sock, conn_->buf, *parser_, asio::redirect_error(asio::use_awaitable, e));
    if (e) {
      bool const f = guard_->fired();
      if (!fresh_ && !f && i == 0) pools_.age().reset(idle_);
      cut();
      co_return f ? Verdict::timeUp : Verdict::unclear;
    }
    if (!fresh_ && i == 0) pools_.age().worked(idle_);
    string const id = headText("Attempt-Id");
    if (id.empty() || id == attempt || headText("Not-Run") == "1") break;
    string junk;
    Piece p = Piece::some;
    while (p == Piece::some) p = co_await read(junk, until);
    if (p == Piece::broken || !conn_) {
      cut();
      co_return Verdict::unclear;
    }
  }
  bool const other = !headText("Attempt-Id").empty() && headText("Attempt-Id") != attempt;
  if (other && headText("Not-Run").empty()) {
    cut();
    co_return Verdict::unclear;
  }
  if (!headText("Not-Run").empty() || status() == 421) {
    string junk;
    Piece p = Piece::some;
    while (p == Piece::some && junk.size() < (1u << 16))
      p = co_await read(junk, std::min(until, Clock::now() + Ms(pools_.settings().bounds.slack)));
    if (p == Piece::whole) release();
    co_return Verdict::notRun;
  }
  co_return Verdict::answered;
}

Task<Piece> Exchange::read(string& out, Moment until) {
  if (!conn_) co_return Piece::broken;
  if (parser_->is_done()) co_return Piece::whole;
  if (parser_->get().need_eof()) {
    cut();
    co_return Piece::broken;
  }
  char b[8192];
  guard_->until(until);
  parser_->get().body().data = b;
  parser_->get().body().size = sizeof b;
  parser_->get().body().more = true;
  error_code e;
  co_await http::async_read_some(conn_->sock, conn_->buf, *parser_, asio::redirect_error(asio::use_awaitable, e));
  if (e == http::error::need_buffer) e = {};
  if (e) {
    cut();
    co_return Piece::broken;
  }
  out.append(b, sizeof b - parser_->get().body().size);
  if (!parser_->is_done()) co_return Piece::some;
  co_return Piece::whole;
}

/// Gives the connection back when it is clean; called once the answer is whole.
void Exchange::release() {
  if (!conn_ || !parser_ || !parser_->is_done()) return cut();
  guard_.reset();
  if (!parser_->get().keep_alive() || conn_->buf.size() || !conn_->sock.is_open()) return cut();
  std::int64_t keep = pools_.settings().bounds.inTouch;
  string const k = headText("Keep-Alive");
  std::size_t const t = k.find("timeout=");
  if (t != string::npos) keep = 1000 * std::strtoll(k.c_str() + t + 8, nullptr, 10);
  keep = std::min(keep - keep / 4, 4 * pools_.settings().bounds.inTouch);
  if (keep <= 0) return cut();
  conn_->keepUntil = Clock::now() + Ms(keep);
  pools_.give(worker_.id, std::move(conn_));
}

string EventReader::feed(string_view s) {
  rest_.append(s);
  std::size_t at = 0;
  for (;;) {
    std::size_t const p = rest_.find("\n\n", at), q = rest_.find("\r\n\r\n", at);
    if (p == string::npos && q == string::npos) break;
    std::size_t const n = std::min(p == string::npos ? p : p + 2, q == string::npos ? q : q + 4);
    event(string_view(rest_).substr(at, n - at));
    at = n;
  }
  string r = rest_.substr(0, at);
  rest_.erase(0, at);
  return r;
}

void EventReader::event(string_view e) {
  while (!e.empty()) {
    std::size_t const p = e.find('\n');
    string_view l = e.substr(0, p);
    e.remove_prefix(p == string_view::npos ? e.size() : p + 1);
    if (!l.empty() && l.back() == '\r') l.remove_suffix(1);
    std::uint64_t n = 0;
    if (l.substr(0, 3) == "id:") {
      l.remove_prefix(l.size() > 3 && l[3] == ' ' ? 4 : 3);
      if (readNumber(l, n)) {
        last_ = n;
        any_ = true;
      }
    } else if (data && l.substr(0, 5) == "data:") {
      l.remove_prefix(l.size() > 5 && l[5] == ' ' ? 6 : 5);
      if (!data->empty()) *data += '\n';
      data->append(l);
    }
  }
}

}  // namespace tealshelf
