#include "traffic/exchange.hpp"

namespace tealshelf {

namespace {
constexpr std::uint64_t maxBodyBytes = std::uint64_t{1} << 40;
constexpr std::uint32_t maxHeadBytes = 64u << 10;
/// The connect timeout is this part of inTouch. A reachable worker accepts or refuses a connection at once, however
/// busy it is; trying another worker is faster than waiting for TCP to retransmit a lost packet.
constexpr int connectTimeoutDivisor = 20;
/// Limits for late answers to other requests, which are skipped.
constexpr int maxSkippedAnswers = 3;
constexpr std::size_t maxSkippedBytes = 1u << 16;
constexpr std::size_t maxFailedAttempts = 256;
}  // namespace

Exchange::~Exchange() {
  abort();
}

void Exchange::abort() {
  deadline_.reset();
  if (connection_) {
    error_code ignored;
    connection_->socket.close(ignored);
  }
  connection_.reset();
}

void Exchange::cancel() {
  cancelled_ = true;
  if (!connection_) return;
  error_code ignored;
  connection_->socket.close(ignored);
}

string Exchange::header(string_view name) const {
  beast::string_view const value = headers()[beast::string_view(name.data(), name.size())];
  return string(value.data(), value.size());
}

AnswerOwner answerOwner(http::fields const& headers, string_view attempt, bool onlyRequest) {
  auto const [first, end] = headers.equal_range("Attempt-Id");
  if (first == end) return onlyRequest ? AnswerOwner::ours : AnswerOwner::unknown;
  if (std::next(first) != end) return AnswerOwner::unknown;
  beast::string_view const id = first->value();
  if (id.empty()) return AnswerOwner::unknown;
  return string_view(id.data(), id.size()) == attempt ? AnswerOwner::ours : AnswerOwner::another;
}

bool Exchange::isRefusal() const {
  return header("Not-Run") == "1" || status() == 421;
}

SendResult Exchange::giveUp() {
  bool const timedOut = deadline_ && deadline_->expired();
  abort();
  return timedOut ? SendResult::timedOut : SendResult::maybeRun;
}

Task<SendResult> Exchange::send(HttpRequest const& request, string attempt, TimePoint until) {
  attempt_ = std::move(attempt);
  // Without an id, only on an unused connection is it clear which request an answer belongs to.
  connection_ = attempt_.empty() ? pool_.create() : pool_.acquire(worker_, mayRepeat_, attempt_);
  if (!connection_) co_return SendResult::noRoom;
  newConnection_ = !connection_->socket.is_open();
  if (!newConnection_) idleBefore_ = std::chrono::duration_cast<Ms>(Clock::now() - connection_->idleSince);
  deadline_ = std::make_unique<SocketDeadline>(pool_.io(), connection_->socket);
  if (newConnection_) {
    bool const connected = co_await connect(until);
    if (!connected) {
      abort();
      co_return SendResult::notSent;
    }
  }
  if (Clock::now() >= sendDeadline_) {
    abort();
    co_return SendResult::notSent;
  }
  deadline_->expireAt(until);
  WriteResult const written = co_await write(request);
  if (written == WriteResult::nothing && !deadline_->expired()) {
    if (newConnection_) noteReset();
    abort();
    co_return SendResult::notSent;
  }
  if (written == WriteResult::part && !deadline_->expired()) noteReset();
  if (written != WriteResult::whole) co_return giveUp();
  co_return co_await readAnswer(request, until);
}

/// A reused connection was idle for too long; a new one may have exceeded the worker's limit of connections.
void Exchange::noteReset() {
  if (cancelled_) return;
  if (newConnection_)
    pool_.noteReset(worker_.id);
  else
    pool_.safeIdleTime().noteReset(idleBefore_);
}

Task<bool> Exchange::connect(TimePoint until) {
  Bounds const& bounds = pool_.settings().bounds;
  deadline_->expireAt(std::min(until, Clock::now() + bounds.inTouch / connectTimeoutDivisor));
  error_code error;
  connection_->socket.open(tcp::v4(), error);
  // The worker's answer isn't read while the client is slow to read.
  connection_->socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
  co_await connection_->socket.async_connect(endpointOf(worker_.address),
                                             asio::redirect_error(asio::use_awaitable, error));
  connectionWasUnanswered_ = deadline_->expired() && Clock::now() < until;
  if (error || deadline_->expired()) co_return false;
  setSocketOptions(connection_->socket, bounds.inTouch);
  co_return true;
}

/// Writes the request in pieces and checks for input before each one: input that arrives before the whole request was
/// sent can't be distinguished from a late answer to an earlier request.
Task<Exchange::WriteResult> Exchange::write(HttpRequest const& request) {
  http::request_serializer<http::string_body> serializer(request);
  std::size_t sent = 0;
  while (!serializer.is_done()) {
    if (!connection_->isOpenWithoutInput()) co_return sent ? WriteResult::inputArrived : WriteResult::nothing;
    error_code error;
    sent += co_await http::async_write_some(connection_->socket, serializer,
                                            asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return sent ? WriteResult::part : WriteResult::nothing;
  }
  co_return WriteResult::whole;
}

Task<error_code> Exchange::readHead(HttpRequest const& request) {
  parser_.emplace();
  parser_->body_limit(maxBodyBytes);
  parser_->header_limit(maxHeadBytes);
  if (request.method() == http::verb::head) parser_->skip(true);
  error_code error;
  co_await http::async_read_header(connection_->socket, connection_->buffer, *parser_,
                                   asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

/// Reads up to the head that belongs to the attempt, skipping late answers to others.
Task<SendResult> Exchange::readAnswer(HttpRequest const& request, TimePoint until) {
  for (int skipped = 0; skipped <= maxSkippedAnswers; ++skipped) {
    error_code const error = co_await readHead(request);
    if (error) {
      if (!deadline_->expired() && skipped == 0) noteReset();
      co_return giveUp();
    }
    AnswerOwner const owner = answerOwner(headers(), attempt_, newConnection_ && skipped == 0);
    if (owner == AnswerOwner::unknown || status() < 200) co_return giveUp();
    if (owner == AnswerOwner::another) {
      bool const mayContinue = co_await skipAnswer(until);
      if (!mayContinue) co_return giveUp();
      continue;
    }
    if (!newConnection_) pool_.safeIdleTime().noteReused(idleBefore_);
    if (!isRefusal()) co_return SendResult::answered;
    // A success status with a refusal is contradictory.
    if (status() < 300) co_return giveUp();
    bool const mayContinue = co_await skipAnswer(std::min(until, Clock::now() + pool_.settings().bounds.slack));
    if (mayContinue) release();
    co_return SendResult::notRun;
  }
  co_return giveUp();
}

/// Reads and discards the rest of an answer; true if another may follow on the connection.
Task<bool> Exchange::skipAnswer(TimePoint until) {
  if (isCloseDelimited()) co_return false;
  bool const keepAlive = parser_->get().keep_alive();
  std::size_t bytes = 0;
  string piece;
  BodyState state = BodyState::partial;
  while (state == BodyState::partial && bytes < maxSkippedBytes) {
    piece.clear();
    state = co_await readBody(piece, until);
    bytes += piece.size();
  }
  co_return keepAlive&& state == BodyState::complete;
}

/// Asks the parser, which knows the framing of the body: by the message itself, each answer with `Connection: close`
/// would count as close-delimited, also a chunked one.
bool Exchange::isCloseDelimited() const {
  return parser_ && parser_->need_eof();
}

Task<BodyState> Exchange::readBody(string& body, TimePoint until) {
  if (!connection_) co_return BodyState::broken;
  if (parser_->is_done()) co_return BodyState::complete;
  char bytes[8192];
  deadline_->expireAt(until);
  http::buffer_body::value_type& target = parser_->get().body();
  target.data = bytes;
  target.size = sizeof bytes;
  target.more = true;
  error_code error;
  co_await http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                                 asio::redirect_error(asio::use_awaitable, error));
  if (error == http::error::need_buffer) error = {};
  if (error) {
    abort();
    co_return BodyState::broken;
  }
  body.append(bytes, sizeof bytes - target.size);
  co_return parser_->is_done() ? BodyState::complete : BodyState::partial;
}

Task<BodyState> Exchange::readEvents(string& body, TimePoint until) {
  if (connection_ && !parser_->is_done() && isCloseDelimited()) abort();
  co_return co_await readBody(body, until);
}

Ms Exchange::keepAliveTime() const {
  Ms const inTouch = pool_.settings().bounds.inTouch;
  Ms keep = inTouch;
  string const keepAlive = header("Keep-Alive");
  string_view const parameter = "timeout=";
  std::size_t const place = keepAlive.find(parameter);
  if (place != string::npos)
    keep = std::chrono::seconds(std::strtoll(keepAlive.c_str() + place + parameter.size(), nullptr, 10));
  return std::min(keep - keep / 4, 4 * inTouch);
}

void Exchange::release() {
  if (!connection_ || !parser_ || !parser_->is_done()) return abort();
  deadline_.reset();
  bool const clean = connection_->buffer.size() == 0 && connection_->socket.is_open();
  if (!parser_->get().keep_alive() || !clean) return abort();
  Ms const keep = keepAliveTime();
  if (keep <= Ms(0)) return abort();
  if (status() >= 300) connection_->failedAttempts.push_back(hash64(attempt_));
  if (connection_->failedAttempts.size() > maxFailedAttempts) return abort();
  connection_->keepUntil = Clock::now() + keep;
  pool_.release(worker_.id, std::move(connection_));
}

}  // namespace tealshelf
