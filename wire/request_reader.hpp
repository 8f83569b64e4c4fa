#pragma once
#include "wire/incoming_body.hpp"
#include "wire/peer_connection.hpp"

namespace tealshelf {

/// Limits of one request.
struct RequestLimits {
  std::size_t maxHeaderBytes = 0;  ///< of the head, of the trailers, and of the line before a chunk
  std::uint64_t maxBodyBytes = 0;
  Ms headWait{0}, bodyWait{0};
  /// What the request takes in memory once it is under way: copies of its body, and bytes besides.
  std::size_t bodyCopies = 1, workBytes = 0;
};

/// The state of a request after a read.
enum class ReadState {
  whole,    ///< what was to be read has arrived
  refused,  ///< it can't be served, see refusal()
  ended     ///< the connection ended, or the time is up
};

/// Reads one request from a peer's connection, and holds no more of it than the limits and the process allow.
///
/// The connection must outlive it. Memory is held only for bytes that have arrived.
class RequestReader {
 public:
  RequestReader(asio::io_context& io, PeerConnection& peer, RequestLimits const& limits);
  ~RequestReader();
  RequestReader(RequestReader const&) = delete;
  RequestReader& operator=(RequestReader const&) = delete;

  /// Reads the head.
  Task<ReadState> readHead();
  /// The head, once it is whole.
  http::request_header<> const& head() const { return parser_->get().base(); }
  /// Reads the body, after sending `100 Continue` if the peer waits for it.
  Task<ReadState> readBody();
  /// Refuses the request for a reason found by the caller.
  ReadState refuse(ErrorCode code);
  /// Why the request was refused.
  ErrorCode refusal() const { return refusal_; }
  /// Takes the whole request.
  HttpRequest take();
  /// Bytes that the request takes in memory.
  std::size_t heldBytes() const;

 private:
  using Parser = http::request_parser<IncomingBody>;
  /// Waits for bytes and appends at most `most` of them to those not parsed yet; false if none will come.
  Task<bool> receive(std::size_t most);
  /// Reads what has arrived; sets `error`.
  std::size_t readSome(std::size_t most, error_code& error);
  bool holdWhatArrived();
  void skipEmptyLines();
  ReadState parseHead();
  ReadState refuseFor(error_code error);
  bool awaitsContinue() const;
  Task<error_code> sendContinue();

  asio::io_context& io_;
  PeerConnection& peer_;
  RequestLimits limits_;
  SocketDeadline deadline_;
  std::optional<Parser> parser_;
  std::size_t headBytes_ = 0;  ///< that the fields of the head take
  int readsInARow_ = 0;
  ReadState state_ = ReadState::whole;
  ErrorCode refusal_ = ErrorCode::badHeaders;
};

/// A request that was read, or why it was refused; neither if the connection ended.
struct RequestOutcome {
  std::optional<HttpRequest> request;
  std::optional<ErrorCode> refusal;
};
/// Reads a request and holds what it takes once it is under way. `isAcceptable` judges the head before the body is
/// read; empty: any.
Task<RequestOutcome> readRequest(asio::io_context& io, PeerConnection& peer, RequestLimits limits,
                                 std::function<bool(http::request_header<> const&)> isAcceptable);

/// Bytes that the fields of a head take in memory.
std::size_t memoryOf(http::fields const& fields);

}  // namespace tealshelf
