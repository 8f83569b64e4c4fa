#include "wire/rpc.hpp"

#include "wire/frames.hpp"
#include "wire/http.hpp"

#include <netinet/tcp.h>

namespace tealshelf {

using namespace wire;

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

namespace {
constexpr std::size_t mostUnsent = 16u << 20;  ///< calls and messages that wait to be sent to a peer
}  // namespace

class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context& io, Addr to, Ms silence, std::uint64_t incarnation)
      : io_(io), to_(std::move(to)), silence_(silence), incarnation_(incarnation) {}

  Task<string> call(Method m, string body, Ms limit) {
    std::shared_ptr<Link> const self = shared_from_this();
    std::uint64_t const id = ++lastCall_;
    string f = frame(id, static_cast<std::uint16_t>(m), Sort::call, body);
    if (!fits(f)) throw Error(Code::queueFull, to_.text());
    std::shared_ptr<Wait> const w = std::make_shared<Wait>(io_);
    w->timer.expires_after(limit);
    waits_[id] = w;
    std::uint64_t const heard = heard_;
    push(std::move(f), id);
    error_code e;
    co_await w->timer.async_wait(asio::redirect_error(asio::use_awaitable, e));
    waits_.erase(id);
    if (w->reply) co_return std::move(*w->reply);
    if (w->error) throw *w->error;
    // What wasn't sent so far is not sent any more: its caller no longer waits.
    bool const sent = w->connection != 0;
    if (!sent) withdraw(id);
    if (heard_ == heard && limit >= silence_ / 4) drop(Error(Code::connectionBroke, to_.text()));
    throw Error(sent ? Code::timeUp : Code::noPath, to_.text());
  }
  void cast(Method m, string const& body) {
    string f = frame(0, static_cast<std::uint16_t>(m), Sort::cast, body);
    if (fits(f)) push(std::move(f), 0);
  }
  std::uint64_t peer() const { return peer_; }

 private:
  struct Wait {
    explicit Wait(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::optional<string> reply;
    std::optional<Error> error;
    std::uint64_t connection = 0;  ///< number of the connection that it was sent on; 0 before
  };
  struct Unsent {
    string frame;
    std::uint64_t call = 0;  ///< 0 for a message without an answer
  };
  /// One connection, with a number of its own; calls sent on it are answered on it or not at all.
  struct Connection {
    Connection(asio::io_context& io, std::uint64_t n) : sock(io), number(n) {}
    tcp::socket sock;
    std::uint64_t number;
    bool welcomed = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  bool fits(string const& f) const {
    return f.size() <= mostBytes && (out_.empty() || unsent_ + f.size() <= mostUnsent);
  }
  void push(string f, std::uint64_t id) {
    unsent_ += f.size();
    out_.push_back({std::move(f), id});
    if (busy_) return;
    busy_ = true;
    spawn(io_, "link", run(shared_from_this()));
  }
  Unsent pop() {
    Unsent u = std::move(out_.front());
    out_.pop_front();
    unsent_ -= u.frame.size();
    return u;
  }
  void withdraw(std::uint64_t id) {
    for (Unsent const& u : out_)
      if (u.call == id) unsent_ -= u.frame.size();
    std::erase_if(out_, [id](Unsent const& u) { return u.call == id; });
  }
  /// Ends the connection and every call: those that were sent with the error, the others as not sent.
  void drop(Error const& x) {
    if (now_) {
      error_code e;
      now_->sock.close(e);
      now_.reset();
    }
    std::map<std::uint64_t, std::shared_ptr<Wait>> ws;
    ws.swap(waits_);
    for (std::pair<std::uint64_t const, std::shared_ptr<Wait>>& p : ws) {
      p.second->error = p.second->connection ? x : Error(Code::noPath, to_.text());
      p.second->timer.cancel();
    }
    out_.clear();
    unsent_ = 0;
  }
  Task<void> run(std::shared_ptr<Link>) {
    while (!out_.empty()) {
      try {
        bool open = now_ != nullptr;
        if (!open) open = co_await connect();
        if (open)
          co_await sendSome(now_);
        else
          drop(Error(Code::noPath, to_.text()));
      } catch (std::exception const& x) {
        warn("link", to_.text() + ": " + x.what());
        drop(Error(Code::connectionBroke, to_.text()));
      }
    }
    busy_ = false;
  }
  Task<void> sendSome(ConnectionPtr c) {
    string all = std::exchange(greeting_, "");
    while (!out_.empty() && all.size() < mostAtOnce) {
      Unsent u = pop();
      if (all.empty())
        all = std::move(u.frame);
      else
        all += u.frame;
      std::map<std::uint64_t, std::shared_ptr<Wait>>::iterator const w = waits_.find(u.call);
      if (w != waits_.end()) w->second->connection = c->number;
    }
    error_code e;
    co_await asio::async_write(c->sock, asio::buffer(all), asio::redirect_error(asio::use_awaitable, e));
    if (e && c == now_) drop(Error(Code::connectionBroke, to_.text()));
  }
  Task<bool> connect() {
    ConnectionPtr const c = std::make_shared<Connection>(io_, ++connections_);
    Guard g(io_, c->sock);
    g.until(Clock::now() + silence_ / 4);
    error_code e;
    tcp::endpoint const to(asio::ip::make_address(to_.ip), static_cast<std::uint16_t>(to_.port));
    co_await c->sock.async_connect(to, asio::redirect_error(asio::use_awaitable, e));
    if (e || !c->sock.is_open()) co_return false;
    tune(c->sock, silence_);
    greeting_ = frame(0, 0, Sort::hello, packed(LinkHello{protocolVersion, to_, incarnation_}));
    now_ = c;
    spawn(io_, "link reader", read(shared_from_this(), c));
    co_return true;
  }
  /// Reads answers until the connection ends; however it ends, calls sent on it don't wait on.
  Task<void> read(std::shared_ptr<Link>, ConnectionPtr c) {
    Error end(Code::connectionBroke, to_.text());
    try {
      FrameReader r;
      Head h;
      string body;
      bool more = co_await r.next(c->sock, h, body);
      while (more && c == now_) {
        ++heard_;
        take(*c, h, std::move(body));
        more = co_await r.next(c->sock, h, body);
      }
    } catch (Error const& x) {
      end = x;
    } catch (std::exception const& x) {
      warn("link", to_.text() + ": " + x.what());
    }
    if (c == now_) drop(end);
  }
  void take(Connection& c, Head const& h, string body) {
    if (!c.welcomed) return welcome(c, h, body);
    if (h.sort != Sort::reply && h.sort != Sort::error) throw Error(Code::connectionBroke, "a malformed frame");
    std::map<std::uint64_t, std::shared_ptr<Wait>>::iterator const w = waits_.find(h.id);
    if (w == waits_.end() || w->second->connection != c.number) return;
    if (h.sort == Sort::reply)
      w->second->reply = std::move(body);
    else
      w->second->error = errorIn(body);
    w->second->timer.cancel();
    waits_.erase(w);
  }
  /// Whoever answers must be the process that has the address, and speak the same version.
  void welcome(Connection& c, Head const& h, string const& body) {
    std::optional<Error> refused;
    LinkWelcome w;
    if (h.sort == Sort::welcome) w = unpacked<LinkWelcome>(body);
    if (h.sort != Sort::welcome || w.version != protocolVersion)
      refused = Error(Code::otherProtocol, to_.text());
    else if (w.self != to_)
      refused = Error(Code::wrongProcess, to_.text() + " is answered by " + w.self.text());
    if (h.sort == Sort::error) {
      Error const x = errorIn(body);
      if (x.code() == Code::wrongProcess) refused = x;
    }
    if (refused) {
      if (!std::exchange(warned_, true)) warn("link", refused->what());
      throw *refused;
    }
    if (peer_ && peer_ != w.incarnation) say(Level::debug, "link", to_.text() + " has started again");
    peer_ = w.incarnation;
    warned_ = false;
    c.welcomed = true;
  }
  static Error errorIn(string const& body) {
    WireError const x = unpacked<WireError>(body);
    Code const c = static_cast<Code>(x.code);
    return Error(lineOf(c).code == c ? c : Code::callFailed, x.text);
  }

  asio::io_context& io_;
  Addr to_;
  Ms silence_;
  std::uint64_t incarnation_, peer_ = 0;
  ConnectionPtr now_;
  string greeting_;
  bool busy_ = false, warned_ = false;
  std::uint64_t lastCall_ = 0, connections_ = 0, heard_ = 0;
  std::size_t unsent_ = 0;
  std::deque<Unsent> out_;
  std::map<std::uint64_t, std::shared_ptr<Wait>> waits_;
};

Rpc::Rpc(asio::io_context& io, Ms silence) : io_(io), silence_(silence) {}
Rpc::~Rpc() = default;

std::shared_ptr<Link> const& Rpc::linkTo(Addr const& to) {
  std::shared_ptr<Link>& l = links_[to];
  if (!l) l = std::make_shared<Link>(io_, to, silence_, incarnation_);
  return l;
}
Task<string> Rpc::call(Addr to, Method m, string body, Ms limit) {
  std::shared_ptr<Link> const k = linkTo(to);
  co_return co_await k->call(m, std::move(body), limit);
}
void Rpc::cast(Addr const& to, Method m, string body) {
  linkTo(to)->cast(m, body);
}
std::uint64_t Rpc::incarnationAt(Addr const& to) const {
  std::map<Addr, std::shared_ptr<Link>>::const_iterator const l = links_.find(to);
  return l == links_.end() ? 0 : l->second->peer();
}

}  // namespace tealshelf
