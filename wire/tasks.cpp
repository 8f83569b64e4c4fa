#include "wire/tasks.hpp"

#include <netinet/tcp.h>

namespace tealshelf {

Task<void> sleepFor(Ms duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void spawnTask(asio::io_context& io, string name, Task<void> task) {
  asio::co_spawn(io, std::move(task), [name](std::exception_ptr failure) {
    if (!failure) return;
    try {
      std::rethrow_exception(failure);
    } catch (std::exception const& error) {
      logWarning("task", name + " stopped: " + error.what());
    }
  });
}

void setSocketOptions(tcp::socket& socket, Ms silenceTimeout) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  int const timeoutMs = static_cast<int>(silenceTimeout.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof timeoutMs);
}

tcp::endpoint endpointOf(Address const& address) {
  return tcp::endpoint(asio::ip::make_address(address.ip), static_cast<std::uint16_t>(address.port));
}

void SocketDeadline::expireAt(TimePoint deadline) {
  std::shared_ptr<State> const state = state_;
  std::uint64_t const generation = ++state->generation;
  state->timer.expires_at(deadline);
  state->timer.async_wait([state, generation](error_code error) {
    if (error || generation != state->generation || !state->socket) return;
    state->expired = true;
    error_code ignored;
    state->socket->close(ignored);
  });
}

void SocketDeadline::cancel() {
  state_->timer.cancel();
  ++state_->generation;
}

}  // namespace tealshelf
