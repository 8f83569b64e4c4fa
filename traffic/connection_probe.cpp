#include "traffic/connection_probe.hpp"

namespace tealshelf {

Task<bool> respondsToConnect(asio::io_context& io, Address to, Ms answerWithin) {
  tcp::socket socket(io);
  SocketDeadline deadline(io, socket);
  deadline.expireAt(Clock::now() + answerWithin);
  error_code error;
  co_await socket.async_connect(endpointOf(to), asio::redirect_error(asio::use_awaitable, error));
  co_return !deadline.expired();
}

}  // namespace tealshelf
