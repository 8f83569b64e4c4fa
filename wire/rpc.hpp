#pragma once
#include "wire/listener.hpp"
#include "wire/serialization.hpp"

/// Calls between the system's own processes. The protocol: docs/formats.md.
namespace tealshelf {

/// Calls by their number on the wire. Numbers of calls that are gone (11, 47, 60, 61) are not used again.
enum class RpcMethod : std::uint16_t {
  consensusMessages = 1,
  heartbeat = 2,
  hello = 3,
  copyAll = 4,
  join = 5,
  updates = 6,
  forwardCall = 10,
  compareRegistry = 12,
  storeHeartbeat = 20,
  fenceStore = 21,
  openLot = 30,
  acceptLot = 31,
  findLot = 32,
  endLot = 33,
  countRelyingLots = 34,
  createReplica = 40,
  appendResults = 41,
  inspectReplica = 42,
  settleReplica = 43,
  copyReplica = 44,
  readResults = 45,
  readItem = 46,
  fetchReplica = 48,
  startLot = 49,
  confirmReplicas = 50,
  takeCredit = 70,
  pushTallies = 80,
  reportUsage = 90,
  collectUsage = 91
};

/// A reply without content.
struct Acknowledgement {
  bool ok = true;
  MSGPACK_DEFINE(ok)
};

/// Version of what is spoken between the system's own processes; both ends must have the same one.
constexpr std::uint32_t protocolVersion = 2;

/// First frame of a connection, sent along with the first call: who is wanted. Nothing that follows it is handled
/// unless it fits.
struct ConnectionHello {
  std::uint32_t version = protocolVersion;
  Address expected;             ///< the address that the caller means to reach
  std::uint64_t processId = 0;  ///< of the calling process
  string zone;                  ///< of the calling process; "" if it isn't told
  MSGPACK_DEFINE(version, expected, processId, zone)
};
/// First frame of the way back, sent along with the first answer: who answers.
struct ConnectionWelcome {
  std::uint32_t version = protocolVersion;
  Address self;
  std::uint64_t processId = 0;  ///< drawn anew at each start of the process
  string zone;                  ///< of the answering process; "" if it isn't told
  MSGPACK_DEFINE(version, self, processId, zone)
};

/// A connection to one other process, opened when first used and again after it broke.
class RpcLink;

/// All connections of this process to others.
///
/// Errors: an answer of the other side throws the error that the other side threw; notConnected says that nothing was
/// sent; timedOut and connectionLost leave open whether the call was handled.
class RpcClient {
 public:
  /// Connections end after so long a silence of the other side.
  RpcClient(asio::io_context& io, Ms silenceTimeout);
  ~RpcClient();
  /// Sends a call and waits for its answer. Not a coroutine itself, so that no message has to live in the caller's
  /// frame.
  template <class Request>
  Task<typename Request::Reply> call(Address const& to, Request const& request, Ms limit) {
    return callTyped<typename Request::Reply>(to, Request::method, serialize(request), limit);
  }
  /// Sends a message that has no answer; it may be lost.
  template <class Request>
  void send(Address const& to, Request const& message) {
    sendRaw(to, Request::method, serialize(message));
  }
  Task<string> callRaw(Address to, RpcMethod method, string body, Ms limit);
  void sendRaw(Address const& to, RpcMethod method, string body);
  /// The process that answered last at an address; 0 if none did.
  std::uint64_t processIdAt(Address const& to) const;

 private:
  std::shared_ptr<RpcLink> const& linkTo(Address const& to);
  template <class Reply>
  Task<Reply> callTyped(Address to, RpcMethod method, string body, Ms limit) {
    string const reply = co_await callRaw(to, method, std::move(body), limit);
    co_return deserialize<Reply>(reply);
  }
  asio::io_context& io_;
  Ms silenceTimeout_;
  std::uint64_t processId_ = randomId();
  std::map<Address, std::shared_ptr<RpcLink>> links_;
};

/// Takes the calls of other processes. A connection begins with a ConnectionHello that names this server's address and
/// the same version; any other is refused by number before anything on it is handled.
class RpcServer {
 public:
  /// Handles one call; what it returns is the answer.
  using Handler = std::function<Task<string>(string)>;

  RpcServer(asio::io_context& io, Address address, Ms silenceTimeout);
  template <class Request>
  void on(std::function<Task<typename Request::Reply>(Request)> handler) {
    onRaw(Request::method, [handler](string body) -> Task<string> {
      typename Request::Reply const reply = co_await handler(deserialize<Request>(body));
      co_return serialize(reply);
    });
  }
  void onRaw(RpcMethod method, Handler handler) { handlers_[method] = std::move(handler); }
  void start();
  void stop() { listener_.stop(); }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  Task<void> serve(ConnectionPtr connection);
  Task<bool> performHandshake(ConnectionPtr connection);
  Task<void> readCalls(ConnectionPtr connection);
  Task<void> refuse(ConnectionPtr connection, std::uint64_t id, Error error);
  Task<void> handle(ConnectionPtr connection, std::uint64_t id, RpcMethod method, bool wantsReply, string body);
  Task<string> invoke(RpcMethod method, string body);
  Task<void> flush(ConnectionPtr connection);

  asio::io_context& io_;
  Address address_;
  std::uint64_t processId_ = randomId();
  Ms silenceTimeout_;
  Listener listener_;
  std::map<RpcMethod, Handler> handlers_;
};

}  // namespace tealshelf
