#include "wire/rpc.hpp"

#include <netinet/tcp.h>

namespace tealshelf {

namespace {
constexpr std::size_t headBytes = 4 + 8 + 2 + 1;
constexpr std::size_t mostBytes = 64u << 20;
constexpr std::size_t mostUnread = 8u << 20;  ///< answers that wait for a peer that doesn't read
enum class Sort : std::uint8_t { call = 0, reply = 1, error = 2, cast = 3 };

struct Head {
  std::uint32_t size = 0;
  std::uint64_t id = 0;
  std::uint16_t method = 0;
  Sort sort = Sort::call;
};
string frame(std::uint64_t id, std::uint16_t m, Sort s, string_view body) {
  string f(headBytes, '\0');
  std::uint32_t const n = static_cast<std::uint32_t>(body.size());
  std::memcpy(&f[0], &n, 4);
  std::memcpy(&f[4], &id, 8);
  std::memcpy(&f[12], &m, 2);
  f[14] = static_cast<char>(s);
  f.append(body);
  return f;
}
Head readHead(char const* p) {
  Head h;
  std::memcpy(&h.size, p, 4);
  std::memcpy(&h.id, p + 4, 8);
  std::memcpy(&h.method, p + 12, 2);
  h.sort = static_cast<Sort>(p[14]);
  return h;
}
/// Reads frames off a socket with as few calls as possible.
class FrameReader {
 public:
  Task<bool> next(tcp::socket& s, Head& h, string& body) {
    bool ok = co_await fill(s, headBytes);
    if (!ok) co_return false;
    h = readHead(buf_.data() + at_);
    at_ += headBytes;
    if (h.size > mostBytes) co_return false;
    ok = co_await fill(s, h.size);
    if (!ok) co_return false;
    body.assign(buf_, at_, h.size);
    at_ += h.size;
    if (at_ == buf_.size()) {
      buf_.clear();
      at_ = 0;
      if (buf_.capacity() > (1u << 16)) buf_.shrink_to_fit();
    }
    co_return true;
  }

 private:
  Task<bool> fill(tcp::socket& s, std::size_t n) {
    while (buf_.size() - at_ < n) {
      if (at_) {
        buf_.erase(0, at_);
        at_ = 0;
      }
      std::size_t const had = buf_.size();
      std::size_t const room = std::max<std::size_t>(4096, n - had);
      buf_.resize(had + room);
      error_code e;
      std::size_t const got =
          co_await s.async_read_some(asio::buffer(&buf_[had], room), asio::redirect_error(asio::use_awaitable, e));
      buf_.resize(had + got);
      if (e) co_return false;
    }
    co_return true;
  }
  string buf_;
  std::size_t at_ = 0;
};
}  // namespace

void tune(tcp::socket& s, Ms silence) {
  error_code e;
  s.set_option(tcp::no_delay(true), e);
  int const ms = static_cast<int>(silence.count());
  ::setsockopt(s.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

Task<void> pause(Ms d) {
  asio::steady_timer t(co_await asio::this_coro::executor, d);
  error_code e;
  co_await t.async_wait(asio::redirect_error(asio::use_awaitable, e));
}

void spawn(asio::io_context& io, string name, Task<void> t) {
  asio::co_spawn(io, std::move(t), [name](std::exception_ptr p) {
    if (!p) return;
    try {
      std::rethrow_exception(p);
    } catch (std::exception const& x) {
      warn("duty", name + " stopped: " + x.what());
    }
  });
}

class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context& io, Addr to, Ms silence) : io_(io), to_(to), silence_(silence), sock_(io) {}

  struct Wait {
    explicit Wait(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::optional<string> reply;
    std::optional<Error> error;
    bool sent = false;
  };

  Task<string> call(Method m, string body, Ms limit) {
    std::shared_ptr<Link> const self = shared_from_this();
    std::uint64_t const id = ++last_;
    std::shared_ptr<Wait> const w = std::make_shared<Wait>(io_);
    w->timer.expires_after(limit);
    waits_[id] = w;
    std::uint64_t const heard = heard_;
    push(frame(id, static_cast<std::uint16_t>(m), Sort::call, body), id);
    error_code e;
    co_await w->timer.async_wait(asio::redirect_error(asio::use_awaitable, e));
    waits_.erase(id);
    if (w->reply) co_return std::move(*w->reply);
    if (w->error) throw *w->error;
    if (heard_ == heard && limit >= silence_ / 4) drop(Code::connectionBroke);
    throw Error(Code::timeUp, to_.text());
  }
  void cast(Method m, string const& body) { push(frame(0, static_cast<std::uint16_t>(m), Sort::cast, body), 0); }

 private:
  void push(string f, std::uint64_t id) {
    out_.emplace_back(std::move(f), id);
    if (!busy_) {
      busy_ = true;
      spawn(io_, "link", run(shared_from_this()));
    }
  }
  void drop(Code c) {
    error_code e;
    sock_.close(e);
    ++life_;
    open_ = false;
    std::map<std::uint64_t, std::shared_ptr<Wait>> ws;
    ws.swap(waits_);
    for (std::pair<std::uint64_t const, std::shared_ptr<Wait>>& p : ws) {
      p.second->error = Error(p.second->sent ? c : Code::noPath, to_.text());
      p.second->timer.cancel();
    }
    out_.clear();
  }
  Task<void> run(std::shared_ptr<Link>) {
    while (!out_.empty()) {
      if (!open_) {
        bool const ok = co_await connect();
        if (!ok) {
          drop(Code::noPath);
          continue;
        }
      }
      std::uint64_t const life = life_;
      string all;
      vector<std::uint64_t> ids;
      while (!out_.empty() && all.size() < (1u << 18)) {
        if (all.empty())
          all = std::move(out_.front().first);
        else
          all += out_.front().first;
        if (out_.front().second) ids.push_back(out_.front().second);
        out_.pop_front();
      }
      for (std::uint64_t const id : ids)
        if (std::map<std::uint64_t, std::shared_ptr<Wait>>::iterator const w = waits_.find(id); w != waits_.end())
          w->second->sent = true;
      error_code e;
      co_await asio::async_write(sock_, asio::buffer(all), asio::redirect_error(asio::use_awaitable, e));
      if (e && life == life_) drop(Code::connectionBroke);
    }
    busy_ = false;
  }
  Task<bool> connect() {
    sock_ = tcp::socket(io_);
    error_code e;
    std::uint64_t const life = ++life_;
    asio::steady_timer t(io_, silence_ / 4);
    std::weak_ptr<Link> const weak = weak_from_this();
    t.async_wait([weak, life](error_code x) {
      std::shared_ptr<Link> const l = weak.lock();
      if (!x && l && l->life_ == life && !l->open_) {
        error_code y;
        l->sock_.close(y);
      }
    });
    co_await sock_.async_connect({asio::ip::make_address(to_.ip), static_cast<std::uint16_t>(to_.port)},
                                 asio::redirect_error(asio::use_awaitable, e));
    if (e || life != life_ || !sock_.is_open()) co_return false;
    open_ = true;
    tune(sock_, silence_);
    spawn(io_, "link reader", read(shared_from_this(), life));
    co_return true;
  }
  Task<void> read(std::shared_ptr<Link>, std::uint64_t life) {
    FrameReader r;
    Head h;
    string body;
    while (life == life_) {
      bool const ok = co_await r.next(sock_, h, body);
      if (!ok) break;
      if (life != life_) co_return;
      ++heard_;
      std::map<std::uint64_t, std::shared_ptr<Wait>>::iterator const w = waits_.find(h.id);
      if (w == waits_.end()) continue;
      if (h.sort == Sort::reply)
        w->second->reply = std::move(body);
      else {
        std::pair<int, string> const p = unpacked<std::pair<int, string>>(body);
        w->second->error = Error(static_cast<Code>(p.first), p.second);
      }
      w->second->timer.cancel();
      waits_.erase(w);
    }
    if (life == life_) drop(Code::connectionBroke);
  }

  asio::io_context& io_;
  Addr to_;
  Ms silence_;
  tcp::socket sock_;
  bool open_ = false, busy_ = false;
  std::uint64_t last_ = 0, life_ = 0, heard_ = 0;
  std::deque<std::pair<string, std::uint64_t>> out_;
  std::map<std::uint64_t, std::shared_ptr<Wait>> waits_;
};

Rpc::Rpc(asio::io_context& io, Ms silence) : io_(io), silence_(silence) {}
Rpc::~Rpc() = default;

Task<string> Rpc::call(Addr to, Method m, string body, Ms limit) {
  std::shared_ptr<Link>& l = links_[to];
  if (!l) l = std::make_shared<Link>(io_, to, silence_);
  std::shared_ptr<Link> const k = l;
  co_return co_await k->call(m, std::move(body), limit);
}
void Rpc::cast(Addr const& to, Method m, string body) {
  std::shared_ptr<Link>& l = links_[to];
  if (!l) l = std::make_shared<Link>(io_, to, silence_);
  l->cast(m, body);
}

struct RpcServer::Connection {
  explicit Connection(tcp::socket s) : sock(std::move(s)) {}
  tcp::socket sock;
  std::deque<string> out;
  std::size_t queued = 0;
  bool writing = false;
};

RpcServer::RpcServer(asio::io_context& io, Addr at, Ms silence) : io_(io), silence_(silence), acceptor_(io) {
  tcp::endpoint const p(asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port));
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
Task<void> RpcServer::serve(std::shared_ptr<Connection> p) {
  FrameReader r;
  Head h;
  string body;
  for (;;) {
    bool const ok = co_await r.next(p->sock, h, body);
    if (!ok) break;
    spawn(io_, "rpc call", handle(p, h.id, static_cast<Method>(h.method), h.sort == Sort::cast, std::move(body)));
  }
  error_code e;
  p->sock.close(e);
}
Task<void> RpcServer::handle(std::shared_ptr<Connection> p, std::uint64_t id, Method m, bool cast, string body) {
  Sort sort = Sort::reply;
  string r;
  try {
    std::map<Method, Handler>::const_iterator const f = handlers_.find(m);
    if (f == handlers_.end()) throw Error(Code::badMessage);
    r = co_await f->second(std::move(body));
  } catch (Error const& x) {
    sort = Sort::error;
    r = packed(std::make_pair(static_cast<int>(x.code()), string(x.what())));
  }
  if (cast || !p->sock.is_open()) co_return;
  // One answer always fits; a peer that asks on without reading is cut off.
  if (!p->out.empty() && p->queued + r.size() > mostUnread) {
    error_code e;
    p->sock.close(e);
    p->out.clear();
    co_return;
  }
  p->out.push_back(frame(id, static_cast<std::uint16_t>(m), sort, r));
  p->queued += p->out.back().size();
  if (p->writing) co_return;
  p->writing = true;
  while (!p->out.empty() && p->sock.is_open()) {
    string all = std::move(p->out.front());
    p->out.pop_front();
    while (!p->out.empty() && all.size() < (1u << 18)) {
      all += p->out.front();
      p->out.pop_front();
    }
    p->queued -= std::min(p->queued, all.size());
    error_code e;
    co_await asio::async_write(p->sock, asio::buffer(all), asio::redirect_error(asio::use_awaitable, e));
    if (e) p->sock.close(e);
  }
  p->writing = false;
}

}  // namespace tealshelf
