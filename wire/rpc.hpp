#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Messages between the system's own processes; the number is the wire's.
enum class Method : std::uint16_t {
  consensusMessages = 1,
  heartbeat = 2,
  hello = 3,
  copyAll = 4,
  join = 5,
  updates = 6,
  forwardCall = 10,
  beatRelay = 11,
  storeBeat = 20,
  storeFence = 21,
  lotOpen = 30,
  lotAccept = 31,
  lotFind = 32,
  lotEnd = 33,
  relyCount = 34,
  segCreate = 40,
  segAppend = 41,
  segInspect = 42,
  segSettle = 43,
  segCopy = 44,
  segRead = 45,
  segItem = 46,
  segDrop = 47,
  segFetch = 48,
  lotStart = 49,
  segConfirm = 50,
  believe = 60,
  crowding = 61
};

/// Packs a value for the wire or the disk.
template <class T>
string packed(T const& t) {
  msgpack::sbuffer b;
  msgpack::pack(b, t);
  return string(b.data(), b.size());
}
/// Reads a packed value; throws badMessage.
template <class T>
T unpacked(string_view s) {
  try {
    msgpack::object_handle const h = msgpack::unpack(s.data(), s.size());
    return h.get().as<T>();
  } catch (msgpack::unpack_error const&) {
    throw Error(Code::badMessage);
  } catch (std::bad_cast const&) {
    throw Error(Code::badMessage);
  }
}

/// A reply without content.
struct Done {
  bool ok = true;
  MSGPACK_DEFINE(ok)
};

/// Version of what is spoken between the system's own processes; both ends must have the same one.
constexpr std::uint32_t protocolVersion = 2;

/// First frame of a connection, sent along with the first call: who is wanted. Nothing that follows it is
/// handled unless it fits.
struct LinkHello {
  std::uint32_t version = protocolVersion;
  Addr wanted;                    ///< the address that the caller means to reach
  std::uint64_t incarnation = 0;  ///< of the calling process
  MSGPACK_DEFINE(version, wanted, incarnation)
};
/// First frame of the way back, sent along with the first answer: who answers.
struct LinkWelcome {
  std::uint32_t version = protocolVersion;
  Addr self;
  std::uint64_t incarnation = 0;  ///< drawn anew at each start of the process
  MSGPACK_DEFINE(version, self, incarnation)
};

/// A connection to one other process, opened when first used and again after a breakdown.
class Link;

/// All connections of this process to others.
class Rpc {
 public:
  Rpc(asio::io_context& io, Ms silence);
  ~Rpc();
  /// Sends a call and waits for its answer.
  Task<string> call(Addr to, Method m, string body, Ms limit);
  /// Sends a message that has no answer; it may be lost.
  void cast(Addr const& to, Method m, string body);
  /// Not a coroutine itself, so that no message has to live in the caller's frame.
  template <class Q>
  Task<typename Q::Reply> ask(Addr const& to, Q const& q, Ms limit) {
    return typed<typename Q::Reply>(to, Q::method, packed(q), limit);
  }
  template <class Q>
  void tellTo(Addr const& to, Q const& q) {
    cast(to, Q::method, packed(q));
  }
  asio::io_context& io() { return io_; }
  /// Incarnation of the process that answered last at an address; 0 if none did.
  std::uint64_t incarnationAt(Addr const& to) const;

 private:
  std::shared_ptr<Link> const& linkTo(Addr const& to);
  template <class R>
  Task<R> typed(Addr to, Method m, string body, Ms limit) {
    string const r = co_await call(to, m, std::move(body), limit);
    co_return unpacked<R>(r);
  }
  asio::io_context& io_;
  Ms silence_;
  std::uint64_t incarnation_ = randomId();
  std::map<Addr, std::shared_ptr<Link>> links_;
};

/// Handles one message; what it returns is the answer.
using Handler = std::function<Task<string>(string)>;

/// Takes the messages of other processes. A connection begins with a LinkHello that names this server's
/// address and the same version; any other is refused by number before anything on it is handled.
class RpcServer {
 public:
  RpcServer(asio::io_context& io, Addr at, Ms silence);
  void on(Method m, Handler h) { handlers_[m] = std::move(h); }
  template <class Q>
  void on(std::function<Task<typename Q::Reply>(Q)> f) {
    handlers_[Q::method] = [f](string b) -> Task<string> {
      typename Q::Reply const r = co_await f(unpacked<Q>(b));
      co_return packed(r);
    };
  }
  void start();
  void stop() {
    error_code e;
    acceptor_.close(e);
  }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  Task<void> take();
  Task<void> serve(ConnectionPtr p);
  Task<void> readCalls(ConnectionPtr p);
  Task<void> refuse(ConnectionPtr p, std::uint64_t id, Error x);
  Task<void> handle(ConnectionPtr p, std::uint64_t id, Method m, bool cast, string body);
  Task<string> result(Method m, string body);
  Task<void> flush(ConnectionPtr p);
  asio::io_context& io_;
  Addr at_;
  std::uint64_t incarnation_ = randomId();
  Ms silence_;
  tcp::acceptor acceptor_;
  std::map<Method, Handler> handlers_;
};

/// Sets the socket options that every connection of ours has.
void tune(tcp::socket& s, Ms silence);
/// Waits; returns early when the timer is cancelled.
Task<void> pause(Ms d);
/// Starts a duty that runs beside the others; what it throws is logged.
void spawn(asio::io_context& io, string name, Task<void> t);

}  // namespace tealshelf
