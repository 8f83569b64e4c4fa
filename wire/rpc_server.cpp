#include "wire/frames.hpp"
#include "wire/rpc_traffic.hpp"

namespace tealshelf {

using namespace wire;

namespace {
constexpr std::size_t maxUnsentReplyBytes = 8u << 20;  ///< answers that wait for a caller that doesn't read
constexpr std::size_t maxActiveCalls = 1024;           ///< calls of one connection that are handled at once
constexpr int rpcBacklog = 256;
}  // namespace

struct RpcServer::Connection {
  explicit Connection(tcp::socket connected) : socket(std::move(connected)) {}
  void close() {
    error_code ignored;
    socket.close(ignored);
    answers.clear();
    answerBytes = 0;
  }
  void push(string frame) {
    answerBytes += frame.size();
    answers.push_back(std::move(frame));
  }
  tcp::socket socket;
  FrameReader reader;
  string welcome;  ///< goes out along with the first answer
  string peerZone;
  std::deque<string> answers;
  std::size_t answerBytes = 0, activeCalls = 0;
  bool writing = false;
};

RpcServer::RpcServer(asio::io_context& io, Address address, Ms silenceTimeout)
    : io_(io), address_(std::move(address)), silenceTimeout_(silenceTimeout), listener_(io, address_, rpcBacklog) {}

void RpcServer::start() {
  listener_.start("rpc listener", [this](tcp::socket socket) {
    setSocketOptions(socket, silenceTimeout_);
    spawnTask(io_, "rpc connection", serve(std::make_shared<Connection>(std::move(socket))));
  });
}

/// Serves one connection; however the reading ends, the connection ends with it.
Task<void> RpcServer::serve(ConnectionPtr connection) {
  try {
    bool const accepted = co_await performHandshake(connection);
    if (accepted) co_await readCalls(connection);
  } catch (std::exception const& error) {
    logDebug("rpc", error.what());
  }
  connection->close();
}

/// Reads the hello; false if the connection isn't served.
Task<bool> RpcServer::performHandshake(ConnectionPtr connection) {
  FrameHeader header;
  string body;
  bool const received = co_await connection->reader.next(connection->socket, header, body);
  if (!received) co_return false;
  ConnectionHello hello;
  hello.version = 0;
  if (header.kind == FrameKind::hello) hello = deserialize<ConnectionHello>(body);
  std::optional<Error> refusal;
  if (hello.version != protocolVersion)
    refusal = Error(ErrorCode::protocolMismatch, address_.text());
  else if (hello.expected != address_)
    refusal = Error(ErrorCode::wrongProcess, address_.text() + " is not " + hello.expected.text());
  if (refusal) {
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
    bool const received = co_await connection->reader.next(connection->socket, header, body);
    bool const isCall = header.kind == FrameKind::call || header.kind == FrameKind::message;
    if (!received || !isCall) co_return;
    bool const wantsReply = header.kind == FrameKind::call;
    RpcMethod const method = static_cast<RpcMethod>(header.method);
    rpcTraffic().count(TrafficDirection::received, method, connection->peerZone, FrameHeader::bytes + body.size());
    if (connection->activeCalls < maxActiveCalls) {
      ++connection->activeCalls;
      spawnTask(io_, "rpc call", handle(connection, header.callId, method, wantsReply, std::move(body)));
    } else if (wantsReply) {
      connection->push(encodeError(header.callId, method, Error(ErrorCode::queueFull, address_.text())));
      spawnTask(io_, "rpc answers", flush(connection));
    }
  }
}

/// Tells why a connection isn't served; waits a moment for its end, so that the answer isn't lost in a reset.
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

/// A handler's answer as a frame's body; what isn't an Error of ours becomes one, so that no caller waits on.
Task<string> RpcServer::invoke(RpcMethod method, string body) {
  auto const handler = handlers_.find(method);
  if (handler == handlers_.end()) throw Error(ErrorCode::badMessage);
  try {
    co_return co_await handler->second(std::move(body));
  } catch (Error const&) {
    throw;
  } catch (std::exception const& error) {
    logWarning("rpc", "call " + std::to_string(static_cast<int>(method)) + ": " + error.what());
    throw Error(ErrorCode::callFailed, error.what());
  }
}

Task<void> RpcServer::handle(ConnectionPtr connection, std::uint64_t id, RpcMethod method, bool wantsReply,
                             string body) {
  string frame;
  try {
    string const reply = co_await invoke(method, std::move(body));
    frame = encodeFrame(id, method, FrameKind::reply, reply);
  } catch (Error const& error) {
    frame = encodeError(id, method, error);
  }
  --connection->activeCalls;
  if (!wantsReply || !connection->socket.is_open()) co_return;
  // One answer always fits; a caller that asks on without reading is cut off.
  bool const fits = connection->answers.empty() || connection->answerBytes + frame.size() <= maxUnsentReplyBytes;
  if (!fits) {
    connection->close();
    co_return;
  }
  rpcTraffic().count(TrafficDirection::sent, method, connection->peerZone, frame.size());
  connection->push(std::move(frame));
  co_await flush(connection);
}

Task<void> RpcServer::flush(ConnectionPtr connection) {
  if (connection->writing) co_return;
  connection->writing = true;
  while (!connection->answers.empty() && connection->socket.is_open()) {
    string batch = std::exchange(connection->welcome, "");
    while (!connection->answers.empty() && batch.size() < maxBatchBytes) {
      if (batch.empty())
        batch = std::move(connection->answers.front());
      else
        batch += connection->answers.front();
      connection->answers.pop_front();
    }
    connection->answerBytes -= std::min(connection->answerBytes, batch.size());
    error_code error;
    co_await asio::async_write(connection->socket, asio::buffer(batch),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) connection->close();
  }
  connection->writing = false;
}

}  // namespace tealshelf
