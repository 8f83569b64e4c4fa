#include "wire/peer_connection.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t discardBytes = 4096;
/// When a refused request may come again, in seconds.
constexpr char const* overloadRetryAfter = "0.5";
}  // namespace

PeerConnection::PeerConnection(tcp::socket connected, std::unique_ptr<PeerHold> held)
    : socket(std::move(connected)), hold(std::move(held)) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  hold->onGiveWay = [this] { close(); };
}

PeerConnection::~PeerConnection() {
  hold->onGiveWay = nullptr;
}

void PeerConnection::close() {
  error_code ignored;
  socket.close(ignored);
}

Task<void> PeerConnection::refuse(asio::io_context& io, HttpReply answer, Ms limit, std::uint64_t maxBytes) {
  hold->onGiveWay = [this] { close(); };
  hold->enter(PeerPhase::leaving);
  string().swap(unparsed);
  SocketDeadline deadline(io, socket);
  deadline.expireAt(Clock::now() + limit);
  http::response<http::string_body> response = makeResponse(std::move(answer), 11, false);
  error_code error;
  co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
  if (!error) socket.shutdown(tcp::socket::shutdown_send, error);
  char discarded[discardBytes];
  std::uint64_t count = 0;
  while (!error && count < maxBytes)
    count += co_await socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
  deadline.cancel();
  close();
}

HttpReply overloadReply() {
  HttpReply answer = errorReply(Error(ErrorCode::overloaded));
  answer.headers.emplace_back("Retry-After", overloadRetryAfter);
  return answer;
}

}  // namespace tealshelf
