#include "wire/listener.hpp"

#include <netinet/tcp.h>

namespace tealshelf {

namespace {
/// Bytes of a connection that the kernel keeps unsent.
constexpr int unsentBytes = 16 << 10;
/// Delay before the next accept after a failed one, for example for lack of file descriptors.
constexpr Ms acceptRetryDelay{10};
}  // namespace

Listener::Listener(asio::io_context& io, Address const& address, int backlog) : io_(io), acceptor_(io) {
  tcp::endpoint const endpoint = endpointOf(address);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(backlog);
}

void Listener::start(string taskName, ConnectionHandler handler) {
  spawnTask(io_, std::move(taskName), acceptLoop(std::move(handler)));
}

void Listener::limitSocketBuffers() {
  error_code ignored;
  acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
  ::setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsentBytes, sizeof unsentBytes);
}

void Listener::stop() {
  error_code ignored;
  acceptor_.close(ignored);
}

Task<void> Listener::acceptLoop(ConnectionHandler handler) {
  while (acceptor_.is_open()) {
    error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error)
      co_await sleepFor(acceptRetryDelay);
    else
      handler(std::move(socket));
  }
}

}  // namespace tealshelf
