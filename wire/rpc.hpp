#pragma once
#include "wire/listener.hpp"
#include "wire/serialization.hpp"

/// Remote procedure calls between tealshelf processes. The protocol is described in docs/formats.md.
namespace tealshelf {

/// Method numbers on the wire. The numbers of removed methods (11, 47, 60, 61) are not reused.
enum class RpcMethod : std::uint16_t {
  consensusMessages = 1,
  heartbeat = 2,
  hello = 3,
  copyAll = 4,
  join = 5,
  updates = 6,
  findHeldKeyspaces = 7,
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

/// Protocol version; both ends of a connection must have the same one.
constexpr std::uint32_t protocolVersion = 2;

/// First frame of a connection, sent together with the first call. The server handles no call unless version and
/// address match its own.
struct ConnectionHello {
  std::uint32_t version = protocolVersion;
  Address expected;             ///< the address that the caller connects to
  std::uint64_t processId = 0;  ///< of the calling process
  string zone;                  ///< of the calling process; "" if unknown
  MSGPACK_DEFINE(version, expected, processId, zone)
};
/// First frame from the server, sent together with the first reply; identifies the server.
struct ConnectionWelcome {
  std::uint32_t version = protocolVersion;
  Address self;
  std::uint64_t processId = 0;  ///< random, new at each start of the process
  string zone;                  ///< of the server process; "" if unknown
  MSGPACK_DEFINE(version, self, processId, zone)
};

/// The connection to one other process, opened on first use and reopened after it was lost.
class RpcLink;

/// All connections of this process to others.
///
/// Errors: an error thrown by the peer's handler is rethrown with its code; notConnected means that nothing was sent;
/// after timedOut and connectionLost it is unknown whether the call was handled.
class RpcClient {
 public:
  /// A connection is closed if the peer is silent for `silenceTimeout`.
  RpcClient(asio::io_context& io, Ms silenceTimeout);
  ~RpcClient();
  /// Sends a call and waits for its reply. Not a coroutine itself: the request is serialized before the first
  /// suspension, so that it needn't outlive this function.
  template <class Request>
  Task<typename Request::Reply> call(Address const& to, Request const& request, Ms limit) {
    return callTyped<typename Request::Reply>(to, Request::method, serialize(request), limit);
  }
  /// Sends a one-way message; it may be lost.
  template <class Request>
  void send(Address const& to, Request const& message) {
    sendRaw(to, Request::method, serialize(message));
  }
  Task<string> callRaw(Address to, RpcMethod method, string body, Ms limit);
  void sendRaw(Address const& to, RpcMethod method, string body);
  /// The id of the process that last replied at an address; 0 if none did.
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

/// Handles the calls of other processes. A connection must start with a ConnectionHello for this server's address and
/// protocol version; any other gets an error code before any call on it is handled.
class RpcServer {
 public:
  /// Handles one call and returns the serialized reply.
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
