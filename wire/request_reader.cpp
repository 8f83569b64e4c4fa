#include "wire/request_reader.hpp"

#include "wire/request_head.hpp"

namespace tealshelf {

namespace {
/// Size of one read of a head, and of a body.
constexpr std::size_t headReadBytes = 1u << 12, bodyReadBytes = 1u << 14;
/// Reads without a pause after which others have their turn.
constexpr int maxReadsInARow = 8;
/// What a field takes besides its name and value.
constexpr std::size_t fieldBytes = 96;
string_view const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// Where bytes are read to; shared by all requests, as none keeps it across a wait.
std::array<char, bodyReadBytes> readBuffer;
}  // namespace

std::size_t memoryOf(http::fields const& fields) {
  std::size_t bytes = 0;
  for (auto const& field : fields) bytes += fieldBytes + field.name_string().size() + field.value().size();
  return bytes;
}

RequestReader::RequestReader(asio::io_context& io, PeerConnection& peer, RequestLimits const& limits)
    : io_(io), peer_(peer), limits_(limits), deadline_(io, peer.socket), parser_(std::in_place) {
  parser_->header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
  parser_->body_limit(limits_.maxBodyBytes);
  peer_.hold->onGiveWay = [this] {
    parser_.reset();
    string().swap(peer_.unparsed);
    error_code ignored;
    peer_.socket.cancel(ignored);
  };
}

RequestReader::~RequestReader() {
  peer_.hold->onGiveWay = [&peer = peer_] { peer.close(); };
}

ReadState RequestReader::refuse(ErrorCode code) {
  refusal_ = code;
  state_ = ReadState::refused;
  parser_.reset();
  return state_;
}

ReadState RequestReader::refuseFor(error_code error) {
  if (error == http::error::header_limit) return refuse(ErrorCode::headersTooLong);
  if (error == http::error::body_limit) return refuse(ErrorCode::bodyTooLong);
  return refuse(ErrorCode::badHeaders);
}

void RequestReader::skipEmptyLines() {
  peer_.unparsed.erase(0, emptyLinesLength(peer_.unparsed));
}

std::size_t RequestReader::heldBytes() const {
  return peer_.unparsed.size() + headBytes_ + (parser_ ? parser_->get().body().size() : 0);
}

bool RequestReader::holdWhatArrived() {
  bool const fits = peer_.hold->hold(HeldPart::request, heldBytes());
  if (!fits) refuse(ErrorCode::overloaded);
  return fits;
}

std::size_t RequestReader::readSome(std::size_t most, error_code& error) {
  std::size_t const room = std::min(most, readBuffer.size());
  std::size_t const count = peer_.socket.read_some(asio::buffer(readBuffer.data(), room), error);
  peer_.unparsed.append(readBuffer.data(), count);
  return count;
}

Task<bool> RequestReader::receive(std::size_t most) {
  if (++readsInARow_ % maxReadsInARow == 0) co_await asio::post(io_, asio::use_awaitable);
  for (;;) {
    if (peer_.hold->mustLeave()) {
      refuse(ErrorCode::overloaded);
      co_return false;
    }
    error_code error;
    readSome(most, error);
    if (!error) co_return holdWhatArrived();
    if (error == asio::error::eof && (headBytes_ || !peer_.unparsed.empty())) {
      refuse(ErrorCode::badHeaders);
      co_return false;
    }
    if (error != asio::error::would_block) {
      state_ = ReadState::ended;
      co_return false;
    }
    if (peer_.unparsed.empty()) string().swap(peer_.unparsed);
    co_await peer_.socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  }
}

Task<ReadState> RequestReader::readHead() {
  deadline_.expireAt(Clock::now() + limits_.headWait);
  peer_.hold->enter(PeerPhase::reading);
  HeadScan scan;
  for (;;) {
    skipEmptyLines();
    HeadState const state = scan.stateOf(peer_.unparsed);
    if (state == HeadState::folded) co_return refuse(ErrorCode::badHeaders);
    if (state == HeadState::complete || peer_.unparsed.size() >= limits_.maxHeaderBytes) break;
    bool const arrived = co_await receive(headReadBytes);
    if (!arrived) co_return state_;
  }
  co_return parseHead();
}

ReadState RequestReader::parseHead() {
  error_code error;
  std::size_t const used = parser_->put(asio::buffer(peer_.unparsed), error);
  bool const isFull = peer_.unparsed.size() >= limits_.maxHeaderBytes;
  if (error == http::error::need_more) error = isFull ? http::error::header_limit : http::error::bad_line_ending;
  if (error) return refuseFor(error);
  peer_.unparsed.erase(0, used);
  headBytes_ = memoryOf(parser_->get().base());
  if (!holdWhatArrived()) return state_;
  deadline_.cancel();
  return ReadState::whole;
}

bool RequestReader::awaitsContinue() const {
  http::request_header<> const& request = head();
  return request.version() >= 11 && beast::iequals(request[http::field::expect], "100-continue");
}

Task<error_code> RequestReader::sendContinue() {
  error_code error;
  co_await asio::async_write(peer_.socket, asio::buffer(continueResponse.data(), continueResponse.size()),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

Task<ReadState> RequestReader::readBody() {
  deadline_.expireAt(Clock::now() + limits_.bodyWait);
  parser_->eager(true);
  if (!parser_->is_done() && awaitsContinue()) {
    error_code const error = co_await sendContinue();
    if (error) co_return ReadState::ended;
    if (peer_.hold->mustLeave()) co_return refuse(ErrorCode::overloaded);
  }
  while (!parser_->is_done()) {
    error_code error = http::error::need_more;
    std::size_t used = 0;
    if (!peer_.unparsed.empty()) used = parser_->put(asio::buffer(peer_.unparsed), error);
    peer_.unparsed.erase(0, used);
    if (error && error != http::error::need_more) co_return refuseFor(error);
    if (parser_->is_done()) break;
    // Part of a line before a chunk, or of the trailers.
    if (peer_.unparsed.size() > limits_.maxHeaderBytes) co_return refuse(ErrorCode::headersTooLong);
    bool const arrived = co_await receive(bodyReadBytes);
    if (!arrived) co_return state_;
  }
  headBytes_ = memoryOf(parser_->get().base());
  if (!holdWhatArrived()) co_return state_;
  deadline_.cancel();
  co_return ReadState::whole;
}

HttpRequest RequestReader::take() {
  http::request<IncomingBody> message = parser_->release();
  return HttpRequest(std::move(message.base()), std::move(message.body()));
}

Task<RequestOutcome> readRequest(asio::io_context& io, PeerConnection& peer, RequestLimits limits,
                                 std::function<bool(http::request_header<> const&)> isAcceptable) {
  RequestOutcome outcome;
  {
    RequestReader reader(io, peer, limits);
    ReadState state = co_await reader.readHead();
    bool const isRefused = state == ReadState::whole && isAcceptable && !isAcceptable(reader.head());
    if (isRefused) state = reader.refuse(ErrorCode::badHeaders);
    if (state == ReadState::whole) state = co_await reader.readBody();
    if (state == ReadState::whole) outcome.request = reader.take();
    if (state == ReadState::refused) outcome.refusal = reader.refusal();
  }
  if (!outcome.request) co_return outcome;
  HttpRequest const& request = *outcome.request;
  std::size_t const bytes =
      memoryOf(request.base()) + limits.bodyCopies * request.body().size() + limits.workBytes + peer.unparsed.size();
  bool const mayWork = peer.hold->enter(PeerPhase::working) && peer.hold->holdForWork(bytes);
  if (!mayWork) outcome = RequestOutcome{std::nullopt, ErrorCode::overloaded};
  co_return outcome;
}

}  // namespace tealshelf
