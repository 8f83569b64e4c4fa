#include "edge/client_connection.hpp"

#include "edge/request_head.hpp"

#include <sys/socket.h>

namespace tealshelf {

namespace {
string_view const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
}

void ClientConnection::beginRequest() {
  headSent = false;
  isHead = false;
}

void ClientConnection::decideKeepAlive(bool stopping) {
  if (stopping && !hasInput()) keepAlive = false;
}

Task<void> ClientConnection::reply(asio::io_context& io, HttpReply answer, Ms limit) {
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

Task<error_code> ClientConnection::sendContinue() {
  error_code error;
  co_await asio::async_write(socket, asio::buffer(continueResponse.data(), continueResponse.size()),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

bool ClientConnection::hasInput() {
  if (buffer.size()) return true;
  if (!socket.is_open()) return false;
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

string_view ClientConnection::received() const {
  return {static_cast<char const*>(buffer.data().data()), buffer.size()};
}

void ClientConnection::skipEmptyLines() {
  buffer.consume(emptyLinesLength(received()));
}

void ClientConnection::close() {
  keepAlive = false;
  error_code ignored;
  socket.close(ignored);
}

}  // namespace tealshelf
