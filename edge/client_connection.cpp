#include "edge/client_connection.hpp"

namespace tealshelf {

Task<void> ClientConnection::reply(asio::io_context& io, HttpReply answer, Ms limit) {
  http::response<http::string_body> response = makeResponse(std::move(answer), 11, keepAlive);
  headSent = true;
  error_code error;
  SocketDeadline deadline(io, socket);
  deadline.expireAt(Clock::now() + limit);
  co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
  if (error) keepAlive = false;
}

void ClientConnection::close() {
  keepAlive = false;
  error_code ignored;
  socket.close(ignored);
}

}  // namespace tealshelf
