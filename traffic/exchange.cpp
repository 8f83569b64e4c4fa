#include "traffic/exchange.hpp"

#include <sys/socket.h>

namespace tealshelf {

bool WorkerConnection::quiet() {
  if (!sock.is_open() || buf.size()) return false;
  char c = 0;
  ssize_t const n = ::recv(sock.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
bool WorkerConnection::failedHere(string_view attempt) const {
  return std::find(failed.begin(), failed.end(), hash64(attempt)) != failed.end();
}

std::unique_ptr<WorkerConnection> Pools::take(Worker const& w, bool mayRepeat, string_view attempt) {
  vector<std::unique_ptr<WorkerConnection>>& v = idle_[w.id];
  // The one given back last lies at the end; before it are only older ones.
  for (std::size_t n = v.size(); n-- > 0;) {
    TimePoint const now = Clock::now();
    bool const over = now >= v[n]->keepUntil;
    if (!over && !mayRepeat && now - v[n]->idleSince > age_.trusted()) break;
    if (!over && v[n]->failedHere(attempt)) continue;
    std::unique_ptr<WorkerConnection> p = std::move(v[n]);
    v.erase(v.begin() + static_cast<std::ptrdiff_t>(n));
    if (!over && p->quiet()) return p;
  }
  return create();
}
void Pools::give(string const& id, std::unique_ptr<WorkerConnection> p) {
  p->idleSince = Clock::now();
  idle_[id].push_back(std::move(p));
}

void Pools::sweep(FleetView const& view) {
  TimePoint const now = Clock::now();
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
    if (std::optional<std::uint64_t> const n = parseNumber(p[static_cast<std::size_t>(i)]))
      a[static_cast<std::size_t>(i)] = *n;
    else
      return std::nullopt;
  return a;
}

Owner ownerOf(http::fields const& head, string_view attempt, bool onlyRequest) {
  std::pair<http::fields::const_iterator, http::fields::const_iterator> const ids = head.equal_range("Attempt-Id");
  if (ids.first == ids.second) return onlyRequest ? Owner::ours : Owner::doubtful;
  if (std::next(ids.first) != ids.second) return Owner::doubtful;
  beast::string_view const id = ids.first->value();
  if (id.empty()) return Owner::doubtful;
  return string_view(id.data(), id.size()) == attempt ? Owner::ours : Owner::another;
}

bool Exchange::refused() const {
  return headText("Not-Run") == "1" || status() == 421;
}

Verdict Exchange::doubt() {
  bool const timeUp = guard_ && guard_->expired();
  cut();
  return timeUp ? Verdict::timeUp : Verdict::unclear;
}

Task<Verdict> Exchange::start(Ask const& q, string attempt, TimePoint until) {
  // Without an id nothing but an unused connection tells whose an answer is.
  attempt_ = std::move(attempt);
  conn_ = attempt_.empty() ? pools_.create() : pools_.take(worker_, mayRepeat_, attempt_);
  fresh_ = !conn_->sock.is_open();
  if (!fresh_) idle_ = std::chrono::duration_cast<Ms>(Clock::now() - conn_->idleSince);
  guard_ = std::make_unique<SocketDeadline>(pools_.io(), conn_->sock);
  if (fresh_) {
    bool const connected = co_await connect(until);
    if (!connected) {
      cut();
      co_return Verdict::notSent;
    }
  }
  guard_->expireAt(until);
  Written const w = co_await write(q);
  if (w == Written::nothing && !guard_->expired()) {
    cut();
    co_return Verdict::notSent;
  }
  if (w == Written::part && !fresh_ && !guard_->expired()) pools_.age().reset(idle_);
  if (w != Written::whole) co_return doubt();
  co_return co_await readAnswer(q, until);
}

Task<bool> Exchange::connect(TimePoint until) {
  guard_->expireAt(std::min(until, Clock::now() + Ms(pools_.settings().bounds.inTouch / 6)));
  error_code e;
  tcp::endpoint const to(asio::ip::make_address(worker_.at.ip), static_cast<std::uint16_t>(worker_.at.port));
  co_await conn_->sock.async_connect(to, asio::redirect_error(asio::use_awaitable, e));
  if (e || guard_->expired()) co_return false;
  setSocketOptions(conn_->sock, Ms(pools_.settings().bounds.inTouch));
  co_return true;
}

/// Writes the request piece by piece and looks before each piece whether something came in: what does so
/// before the whole request was sent can't be told from what was on its way before it.
Task<Exchange::Written> Exchange::write(Ask const& q) {
  http::request_serializer<http::string_body> z(q);
  std::size_t sent = 0;
  while (!z.is_done()) {
    if (!conn_->quiet()) co_return sent ? Written::doubtful : Written::nothing;
    error_code e;
    sent += co_await http::async_write_some(conn_->sock, z, asio::redirect_error(asio::use_awaitable, e));
    if (e) co_return sent ? Written::part : Written::nothing;
  }
  co_return Written::whole;
}

Task<error_code> Exchange::readHead(Ask const& q) {
  parser_.emplace();
  parser_->body_limit(std::uint64_t{1} << 40);
  parser_->header_limit(64u << 10);
  if (q.method() == http::verb::head) parser_->skip(true);
  error_code e;
  co_await http::async_read_header(conn_->sock, conn_->buf, *parser_, asio::redirect_error(asio::use_awaitable, e));
  co_return e;
}

/// Reads on to the head that belongs to the attempt, past late answers to others.
Task<Verdict> Exchange::readAnswer(Ask const& q, TimePoint until) {
  constexpr int mostSkipped = 3;
  for (int n = 0; n <= mostSkipped; ++n) {
    error_code const e = co_await readHead(q);
    if (e) {
      if (!fresh_ && !guard_->expired() && n == 0) pools_.age().reset(idle_);
      co_return doubt();
    }
    Owner const owner = ownerOf(head(), attempt_, fresh_ && n == 0);
    if (owner == Owner::doubtful || status() < 200) co_return doubt();
    if (owner == Owner::another) {
      bool const skipped = co_await skipAnswer(until);
      if (!skipped) co_return doubt();
      continue;
    }
    if (!fresh_) pools_.age().worked(idle_);
    if (!refused()) co_return Verdict::answered;
    // A success that says it was not run contradicts itself.
    if (status() < 300) co_return doubt();
    bool const whole = co_await skipAnswer(std::min(until, Clock::now() + Ms(pools_.settings().bounds.slack)));
    if (whole) release();
    co_return Verdict::notRun;
  }
  co_return doubt();
}

/// Reads an answer to its end and lets it go; true if another may follow on the connection.
Task<bool> Exchange::skipAnswer(TimePoint until) {
  constexpr std::size_t mostBytes = 1u << 16;
  bool const goesOn = parser_->get().keep_alive();
  std::size_t bytes = 0;
  string piece;
  Piece p = Piece::some;
  while (p == Piece::some && bytes < mostBytes) {
    piece.clear();
    p = co_await read(piece, until);
    bytes += piece.size();
  }
  co_return p == Piece::whole&& goesOn;
}

Task<Piece> Exchange::read(string& out, TimePoint until) {
  if (!conn_) co_return Piece::broken;
  if (parser_->is_done()) co_return Piece::whole;
  // The message would call every answer that closes one without an end of its own, chunked ones too.
  if (parser_->need_eof()) {
    cut();
    co_return Piece::broken;
  }
  char b[8192];
  guard_->expireAt(until);
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
  std::int64_t keep = pools_.settings().bounds.inTouch.count();
  string const k = headText("Keep-Alive");
  std::size_t const t = k.find("timeout=");
  if (t != string::npos) keep = 1000 * std::strtoll(k.c_str() + t + 8, nullptr, 10);
  keep = std::min(keep - keep / 4, 4 * pools_.settings().bounds.inTouch.count());
  if (keep <= 0) return cut();
  constexpr std::size_t mostFailed = 256;
  if (status() >= 300) conn_->failed.push_back(hash64(attempt_));
  if (conn_->failed.size() > mostFailed) return cut();
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
    if (l.substr(0, 3) == "id:") {
      l.remove_prefix(l.size() > 3 && l[3] == ' ' ? 4 : 3);
      if (std::optional<std::uint64_t> const n = parseNumber(l)) {
        last_ = *n;
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
