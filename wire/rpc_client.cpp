#include "wire/fault_injection.hpp"
#include "wire/frames.hpp"
#include "wire/rpc_traffic.hpp"

namespace tealshelf {

using namespace wire;

namespace {
/// Limit of the queued calls and messages to one process.
constexpr std::size_t maxUnsentBytes = 16u << 20;
}  // namespace

class RpcLink : public std::enable_shared_from_this<RpcLink> {
 public:
  RpcLink(asio::io_context& io, Address to, Ms silenceTimeout, std::uint64_t processId)
      : io_(io), to_(std::move(to)), silenceTimeout_(silenceTimeout), processId_(processId) {}

  Task<string> call(RpcMethod method, string body, Ms limit) {
    std::shared_ptr<RpcLink> const self = shared_from_this();
    std::uint64_t const id = ++lastCall_;
    string frame = encodeFrame(id, method, FrameKind::call, body);
    if (!fits(frame)) throw Error(ErrorCode::queueFull, to_.text());
    std::shared_ptr<PendingCall> const call = std::make_shared<PendingCall>(io_);
    call->timer.expires_after(limit);
    calls_[id] = call;
    std::uint64_t const receivedBefore = receivedFrames_;
    enqueue(std::move(frame), id, method);
    error_code ignored;
    co_await call->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    calls_.erase(id);
    if (call->reply) co_return std::move(*call->reply);
    if (call->error) throw *call->error;
    // An unsent call is dropped, as its caller no longer waits.
    bool const sent = call->connection != 0;
    if (!sent) removeUnsent(id);
    bool const silent = receivedFrames_ == receivedBefore && limit >= silenceTimeout_ / 4;
    if (silent) disconnect(Error(ErrorCode::connectionLost, to_.text()));
    throw Error(sent ? ErrorCode::timedOut : ErrorCode::notConnected, to_.text());
  }

  void send(RpcMethod method, string const& body) {
    string frame = encodeFrame(0, method, FrameKind::message, body);
    if (fits(frame)) enqueue(std::move(frame), 0, method);
  }

  std::uint64_t peerProcessId() const { return peerProcessId_; }

 private:
  struct PendingCall {
    explicit PendingCall(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::optional<string> reply;
    std::optional<Error> error;
    std::uint64_t connection = 0;  ///< number of the connection that it was sent on; 0 if unsent
  };
  struct UnsentFrame {
    string bytes;
    std::uint64_t callId = 0;  ///< 0 for a one-way message
    RpcMethod method{};
  };
  /// One connection, with a unique number; replies to calls sent on it are accepted on it only.
  struct Connection {
    Connection(asio::io_context& io, std::uint64_t connectionNumber) : socket(io), number(connectionNumber) {}
    tcp::socket socket;
    std::uint64_t number;
    bool welcomed = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  bool fits(string const& frame) const {
    return frame.size() <= maxFrameBytes && (unsent_.empty() || unsentBytes_ + frame.size() <= maxUnsentBytes);
  }

  void enqueue(string frame, std::uint64_t callId, RpcMethod method) {
    unsentBytes_ += frame.size();
    unsent_.push_back({std::move(frame), callId, method});
    if (sending_) return;
    sending_ = true;
    spawnTask(io_, "link", sendLoop(shared_from_this()));
  }

  UnsentFrame dequeue() {
    UnsentFrame frame = std::move(unsent_.front());
    unsent_.pop_front();
    unsentBytes_ -= frame.bytes.size();
    return frame;
  }

  void removeUnsent(std::uint64_t callId) {
    std::erase_if(unsent_, [this, callId](UnsentFrame const& frame) {
      if (frame.callId != callId) return false;
      unsentBytes_ -= frame.bytes.size();
      return true;
    });
  }

  /// Closes the connection and fails all calls: those already sent with `error`, the others with notConnected.
  void disconnect(Error const& error) {
    if (connection_) {
      error_code ignored;
      connection_->socket.close(ignored);
      connection_.reset();
    }
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> const calls = std::exchange(calls_, {});
    for (auto const& [id, call] : calls) {
      call->error = call->connection ? error : Error(ErrorCode::notConnected, to_.text());
      call->timer.cancel();
    }
    unsent_.clear();
    unsentBytes_ = 0;
  }

  Task<void> sendLoop(std::shared_ptr<RpcLink>) {
    while (!unsent_.empty()) {
      try {
        bool connected = connection_ != nullptr;
        if (!connected) connected = co_await connect();
        if (connected)
          co_await sendBatch(connection_);
        else
          disconnect(Error(ErrorCode::notConnected, to_.text()));
      } catch (std::exception const& error) {
        logWarning("link", "sending to " + to_.text() + " failed, closing the connection: " + error.what());
        disconnect(Error(ErrorCode::connectionLost, to_.text()));
      }
    }
    sending_ = false;
  }

  Task<void> sendBatch(ConnectionPtr connection) {
    string batch = std::exchange(helloFrame_, "");
    while (!unsent_.empty() && batch.size() < maxBatchBytes) {
      UnsentFrame frame = dequeue();
      rpcTraffic().count(TrafficDirection::sent, frame.method, peerZone_, frame.bytes.size());
      if (batch.empty())
        batch = std::move(frame.bytes);
      else
        batch += frame.bytes;
      auto const call = calls_.find(frame.callId);
      if (call != calls_.end()) call->second->connection = connection->number;
    }
#ifdef TEALSHELF_FAULTS
    std::function<bool()> const isCut = [this, connection] {
      return connection == connection_ && FaultInjection::instance().blocksSending(to_.ip);
    };
    bool const arrives = co_await waitUntilReachable(isCut, Clock::now() + silenceTimeout_);
    if (connection != connection_) co_return;
    if (!arrives) co_return disconnect(Error(ErrorCode::connectionLost, to_.text()));
#endif
    error_code error;
    co_await asio::async_write(connection->socket, asio::buffer(batch),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error && connection == connection_) disconnect(Error(ErrorCode::connectionLost, to_.text()));
  }

  Task<bool> connect() {
    ConnectionPtr const connection = std::make_shared<Connection>(io_, ++lastConnection_);
    SocketDeadline deadline(io_, connection->socket);
    deadline.expireAt(Clock::now() + silenceTimeout_ / 4);
#ifdef TEALSHELF_FAULTS
    std::function<bool()> const isCut = [this] {
      FaultInjection& faults = FaultInjection::instance();
      return faults.blocksSending(to_.ip) || faults.blocksReceiving(to_.ip);
    };
    bool const reachable = co_await waitUntilReachable(isCut, Clock::now() + silenceTimeout_ / 4);
    if (!reachable) co_return false;
#endif
    error_code error;
    co_await connection->socket.async_connect(endpointOf(to_), asio::redirect_error(asio::use_awaitable, error));
    if (error || !connection->socket.is_open()) co_return false;
    setSocketOptions(connection->socket, silenceTimeout_);
    ConnectionHello const hello{protocolVersion, to_, processId_, rpcTraffic().ownZone()};
    helloFrame_ = encodeFrame(0, RpcMethod(), FrameKind::hello, serialize(hello));
    connection_ = connection;
    spawnTask(io_, "link reader", readLoop(shared_from_this(), connection));
    co_return true;
  }

  /// Reads replies until the connection ends, then fails the calls sent on it.
  Task<void> readLoop(std::shared_ptr<RpcLink>, ConnectionPtr connection) {
    Error reason(ErrorCode::connectionLost, to_.text());
    try {
      FrameReader reader;
      FrameHeader header;
      string body;
      bool more = co_await reader.next(connection->socket, header, body);
      while (more && connection == connection_) {
#ifdef TEALSHELF_FAULTS
        // Holds back received frames, in order, until the partition or the connection ends.
        std::function<bool()> const isCut = [this, connection] {
          return connection == connection_ && FaultInjection::instance().blocksReceiving(to_.ip);
        };
        co_await waitUntilReachable(isCut, TimePoint::max());
        if (connection != connection_) co_return;
        bool const isReply = connection->welcomed && header.kind == FrameKind::reply;
        if (isReply && FaultInjection::instance().losesReply())
          throw Error(ErrorCode::connectionLost, "a reply was dropped by fault injection");
#endif
        ++receivedFrames_;
        receive(*connection, header, std::move(body));
        more = co_await reader.next(connection->socket, header, body);
      }
    } catch (Error const& error) {
      reason = error;
    } catch (std::exception const& error) {
      logWarning("link", "reading from " + to_.text() + " failed, closing the connection: " + error.what());
    }
    if (connection == connection_) disconnect(reason);
  }

  void receive(Connection& connection, FrameHeader const& header, string body) {
    if (!connection.welcomed) return receiveWelcome(connection, header, body);
    rpcTraffic().count(TrafficDirection::received, static_cast<RpcMethod>(header.method), peerZone_,
                       FrameHeader::bytes + body.size());
    bool const isAnswer = header.kind == FrameKind::reply || header.kind == FrameKind::error;
    if (!isAnswer)
      throw Error(ErrorCode::connectionLost, to_.text() + " sent a frame that is neither a reply nor an error");
    auto const found = calls_.find(header.callId);
    if (found == calls_.end() || found->second->connection != connection.number) return;
    PendingCall& call = *found->second;
    if (header.kind == FrameKind::reply)
      call.reply = std::move(body);
    else
      call.error = decodeError(body);
    call.timer.cancel();
    calls_.erase(found);
  }

  /// Checks that the peer has the expected address and the same protocol version.
  void receiveWelcome(Connection& connection, FrameHeader const& header, string const& body) {
    ConnectionWelcome welcome;
    std::optional<Error> refusal;
    if (header.kind == FrameKind::welcome) welcome = deserialize<ConnectionWelcome>(body);
    if (header.kind != FrameKind::welcome || welcome.version != protocolVersion)
      refusal = Error(ErrorCode::protocolMismatch, to_.text());
    else if (welcome.self != to_)
      refusal = Error(ErrorCode::wrongProcess, "expected " + to_.text() + ", but the peer is " + welcome.self.text());
    if (header.kind == FrameKind::error) {
      Error const error = decodeError(body);
      if (error.code() == ErrorCode::wrongProcess) refusal = error;
    }
    if (refusal) {
      if (!std::exchange(refusalLogged_, true)) logWarning("link", refusal->what());
      throw *refusal;
    }
    if (peerProcessId_ && peerProcessId_ != welcome.processId)
      logDebug("link", to_.text() + " has restarted with a new process id");
    peerProcessId_ = welcome.processId;
    peerZone_ = welcome.zone;
    refusalLogged_ = false;
    connection.welcomed = true;
  }

  static Error decodeError(string const& body) {
    WireError const error = deserialize<WireError>(body);
    ErrorCode const code = static_cast<ErrorCode>(error.code);
    bool const known = errorInfo(code).code == code;
    return Error(known ? code : ErrorCode::callFailed, error.text);
  }

  asio::io_context& io_;
  Address to_;
  Ms silenceTimeout_;
  std::uint64_t processId_, peerProcessId_ = 0;
  ConnectionPtr connection_;
  string helloFrame_;  ///< sent together with the first call
  string peerZone_;    ///< "" until the first reply
  bool sending_ = false;
  bool refusalLogged_ = false;  ///< true once the current refusal by the peer was logged
  std::uint64_t lastCall_ = 0, lastConnection_ = 0, receivedFrames_ = 0;
  std::size_t unsentBytes_ = 0;
  std::deque<UnsentFrame> unsent_;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> calls_;
};

RpcClient::RpcClient(asio::io_context& io, Ms silenceTimeout) : io_(io), silenceTimeout_(silenceTimeout) {}
RpcClient::~RpcClient() = default;

std::shared_ptr<RpcLink> const& RpcClient::linkTo(Address const& to) {
  std::shared_ptr<RpcLink>& link = links_[to];
  if (!link) link = std::make_shared<RpcLink>(io_, to, silenceTimeout_, processId_);
  return link;
}

Task<string> RpcClient::callRaw(Address to, RpcMethod method, string body, Ms limit) {
  std::shared_ptr<RpcLink> const link = linkTo(to);
  co_return co_await link->call(method, std::move(body), limit);
}

void RpcClient::sendRaw(Address const& to, RpcMethod method, string body) {
  linkTo(to)->send(method, body);
}

std::uint64_t RpcClient::processIdAt(Address const& to) const {
  auto const link = links_.find(to);
  return link == links_.end() ? 0 : link->second->peerProcessId();
}

}  // namespace tealshelf
