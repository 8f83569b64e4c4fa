#include "wire/frames.hpp"
#include "wire/overload_manager.hpp"
#include "wire/rpc_traffic.hpp"

namespace tealshelf {

using namespace wire;

namespace {
constexpr std::size_t maxUnsentReplyBytes = 8u << 20;  ///< queued replies to a caller that doesn't read
constexpr std::size_t maxActiveCalls = 1024;           ///< concurrent calls of one connection
constexpr std::size_t maxHelloBytes = 4u << 10;        ///< of the first frame of a connection
constexpr std::size_t callOverheadBytes = 4u << 10;    ///< of a call under way, besides its body
constexpr int rpcBacklog = 256;
}  // namespace

struct RpcServer::Connection {
  Connection(tcp::socket connected, std::unique_ptr<PeerHold> held)
      : socket(std::move(connected)), hold(std::move(held)) {
    hold->onGiveWay = [this] { close(); };
    reader.mayKeep = [this](std::size_t bytes) {
      unparsedBytes = bytes;
      return holdRequests();
    };
  }
  ~Connection() { hold->onGiveWay = nullptr; }
  /// Calls under way keep a connection from giving way to others.
  void enterPhase() { hold->enter(activeCalls ? PeerPhase::working : PeerPhase::idle); }
  /// Both return false if there is no room; the connection is to be closed then.
  bool holdRequests() { return hold->hold(HeldPart::request, unparsedBytes + callBytes); }
  bool holdReplies() { return hold->hold(HeldPart::answer, replyBytes); }
  void close() {
    error_code ignored;
    socket.close(ignored);
    replies.clear();
    replyBytes = 0;
  }
  void push(string frame) {
    replyBytes += frame.size();
    replies.push_back(std::move(frame));
  }
  tcp::socket socket;
  FrameReader reader;
  string welcome;  ///< sent together with the first reply
  string peerZone;
  std::deque<string> replies;
  std::size_t replyBytes = 0, activeCalls = 0;
  std::size_t unparsedBytes = 0, callBytes = 0;  ///< of frames that are read, and of calls under way
  bool writing = false;
  std::unique_ptr<PeerHold> const hold;
};

RpcServer::RpcServer(asio::io_context& io, Address address, Ms silenceTimeout)
    : io_(io), address_(std::move(address)), silenceTimeout_(silenceTimeout), listener_(io, address_, rpcBacklog) {}

void RpcServer::start() {
  listener_.start("rpc listener", [this](tcp::socket socket) {
    setSocketOptions(socket, silenceTimeout_);
    std::unique_ptr<PeerHold> hold = overloadManager().admit(PeerKind::node);
    if (!hold || hold->mustLeave()) return;
    spawnTask(io_, "rpc connection", serve(std::make_shared<Connection>(std::move(socket), std::move(hold))));
  });
}

/// Serves one connection and closes it when reading ends for any reason.
Task<void> RpcServer::serve(ConnectionPtr connection) {
  try {
    bool const accepted = co_await performHandshake(connection);
    if (accepted) co_await readCalls(connection);
  } catch (std::exception const& error) {
    logDebug("rpc", error.what());
  }
  connection->close();
}

/// Reads and checks the hello; false if the connection is refused.
Task<bool> RpcServer::performHandshake(ConnectionPtr connection) {
  FrameHeader header;
  string body;
  SocketDeadline deadline(io_, connection->socket);
  deadline.expireAt(Clock::now() + silenceTimeout_);
  bool const received = co_await connection->reader.next(connection->socket, header, body, maxHelloBytes);
  deadline.cancel();
  if (!received) co_return false;
  ConnectionHello hello;
  hello.version = 0;
  if (header.kind == FrameKind::hello) hello = deserialize<ConnectionHello>(body);
  std::optional<Error> refusal;
  if (hello.version != protocolVersion)
    refusal = Error(ErrorCode::protocolMismatch, address_.text());
  else if (hello.expected != address_)
    refusal = Error(ErrorCode::wrongProcess,
                    "the caller expected " + hello.expected.text() + ", but this is " + address_.text());
  if (refusal) {
    connection->hold->enter(PeerPhase::leaving);
    co_await refuse(connection, header.callId, *refusal);
    co_return false;
  }
  connection->peerZone = hello.zone;
  ConnectionWelcome const welcome{protocolVersion, address_, processId_, rpcTraffic().ownZone()};
  connection->welcome = encodeFrame(0, RpcMethod(), FrameKind::welcome, serialize(welcome));
  co_return true;
}

Task<void> RpcServer::readCalls(ConnectionPtr connection) {
  FrameHeader header;
  string body;
  for (;;) {
    connection->enterPhase();
    bool const received = co_await connection->reader.next(connection->socket, header, body);
    bool const isCall = header.kind == FrameKind::call || header.kind == FrameKind::message;
    if (!received || !isCall) co_return;
    connection->unparsedBytes = connection->reader.keptBytes();
    bool const wantsReply = header.kind == FrameKind::call;
    RpcMethod const method = static_cast<RpcMethod>(header.method);
    rpcTraffic().count(TrafficDirection::received, method, connection->peerZone, FrameHeader::bytes + body.size());
    if (connection->activeCalls < maxActiveCalls) {
      ++connection->activeCalls;
      connection->callBytes += callOverheadBytes + body.size();
      if (!connection->holdRequests()) co_return;
      spawnTask(io_, "rpc call", handle(connection, header.callId, method, wantsReply, std::move(body)));
    } else if (wantsReply) {
      connection->push(encodeError(header.callId, method, Error(ErrorCode::queueFull, address_.text())));
      spawnTask(io_, "rpc replies", flush(connection));
    }
  }
}

/// Sends the reason of a refusal, then reads until the peer closes or a deadline expires, so that a TCP reset doesn't
/// discard the error frame.
Task<void> RpcServer::refuse(ConnectionPtr connection, std::uint64_t id, Error reason) {
  SocketDeadline deadline(io_, connection->socket);
  deadline.expireAt(Clock::now() + silenceTimeout_ / 4);
  string const frame = encodeError(id, RpcMethod(), reason);
  error_code error;
  co_await asio::async_write(connection->socket, asio::buffer(frame), asio::redirect_error(asio::use_awaitable, error));
  connection->socket.shutdown(tcp::socket::shutdown_send, error);
  char rest[4096];
  while (!error)
    co_await connection->socket.async_read_some(asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
}

/// Returns a handler's serialized reply; converts foreign exceptions to an Error, so that every caller gets an answer.
Task<string> RpcServer::invoke(RpcMethod method, string body) {
  auto const handler = handlers_.find(method);
  if (handler == handlers_.end()) throw Error(ErrorCode::badMessage);
  try {
    co_return co_await handler->second(std::move(body));
  } catch (Error const&) {
    throw;
  } catch (std::exception const& error) {
    logWarning("rpc", "the handler of method " + string(nameOf(method)) + " (" +
                          std::to_string(static_cast<int>(method)) + ") failed: " + error.what());
    throw Error(ErrorCode::callFailed, error.what());
  }
}

Task<void> RpcServer::handle(ConnectionPtr connection, std::uint64_t id, RpcMethod method, bool wantsReply,
                             string body) {
  string frame;
  std::size_t const bytes = callOverheadBytes + body.size();
  try {
    string const reply = co_await invoke(method, std::move(body));
    frame = encodeFrame(id, method, FrameKind::reply, reply);
  } catch (Error const& error) {
    frame = encodeError(id, method, error);
  }
  --connection->activeCalls;
  connection->callBytes -= bytes;
  connection->holdRequests();
  connection->enterPhase();
  if (!wantsReply || !connection->socket.is_open()) co_return;
  // A single reply always fits; a caller that keeps calling without reading is disconnected.
  bool const fits = connection->replies.empty() || connection->replyBytes + frame.size() <= maxUnsentReplyBytes;
  if (!fits) {
    connection->close();
    co_return;
  }
  rpcTraffic().count(TrafficDirection::sent, method, connection->peerZone, frame.size());
  connection->push(std::move(frame));
  if (!connection->holdReplies()) co_return connection->close();
  co_await flush(connection);
}

Task<void> RpcServer::flush(ConnectionPtr connection) {
  if (connection->writing) co_return;
  connection->writing = true;
  while (!connection->replies.empty() && connection->socket.is_open()) {
    string batch = std::exchange(connection->welcome, "");
    while (!connection->replies.empty() && batch.size() < maxBatchBytes) {
      if (batch.empty())
        batch = std::move(connection->replies.front());
      else
        batch += connection->replies.front();
      connection->replies.pop_front();
    }
    connection->replyBytes -= std::min(connection->replyBytes, batch.size());
    error_code error;
    co_await asio::async_write(connection->socket, asio::buffer(batch),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error || !connection->holdReplies()) connection->close();
  }
  connection->writing = false;
}

}  // namespace tealshelf
