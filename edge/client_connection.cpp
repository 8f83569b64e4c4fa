#include "edge/client_connection.hpp"

#include "wire/request_head.hpp"

#include <sys/socket.h>

namespace tealshelf {

void ClientConnection::beginRequest() {
  headSent = false;
  isHead = false;
}

bool ClientConnection::endRequest() {
  return hold->hold(HeldPart::request, unparsed.size()) && hold->hold(HeldPart::answer, 0) &&
         hold->enter(PeerPhase::idle);
}

void ClientConnection::decideKeepAlive(bool stopping) {
  if (stopping && !hasInput()) keepAlive = false;
  if (hold->isUnderPressure()) keepAlive = false;
}

Task<void> ClientConnection::reply(asio::io_context& io, HttpReply answer, Ms limit) {
  if (!hold->hold(HeldPart::answer, answer.body.size()) || !hold->enter(PeerPhase::writing)) co_return close();
  http::response<http::string_body> response = makeResponse(std::move(answer), 11, keepAlive);
  http::response_serializer<http::string_body> serializer(response);
  headSent = true;
  error_code error;
  SocketDeadline deadline(io, socket);
  deadline.expireAt(Clock::now() + limit);
  if (isHead)
    co_await http::async_write_header(socket, serializer, asio::redirect_error(asio::use_awaitable, error));
  else
    co_await http::async_write(socket, serializer, asio::redirect_error(asio::use_awaitable, error));
  if (error) keepAlive = false;
}

bool ClientConnection::hasInput() {
  if (!unparsed.empty()) return true;
  if (!socket.is_open()) return false;
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ClientConnection::skipEmptyLines() {
  unparsed.erase(0, emptyLinesLength(unparsed));
}

void ClientConnection::close() {
  keepAlive = false;
  PeerConnection::close();
}

}  // namespace tealshelf
