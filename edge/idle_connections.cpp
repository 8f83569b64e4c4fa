#include "edge/idle_connections.hpp"

namespace tealshelf {

namespace {
/// Cancels the wait for input; bytes that have arrived stay unread.
void cancelWait(ClientConnection& client) {
  error_code ignored;
  client.socket.cancel(ignored);
}
}  // namespace

Task<bool> IdleConnections::awaitRequest(ClientConnection& client) {
  idleSince_[&client] = Clock::now();
  error_code error;
  co_await client.socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  idleSince_.erase(&client);
  co_return !error || client.hasInput();
}

void IdleConnections::cancelOlderThan(Ms limit) {
  TimePoint const now = Clock::now();
  for (auto const& [client, since] : idleSince_)
    if (now - since >= limit) cancelWait(*client);
}

void IdleConnections::cancelAll() {
  for (auto const& [client, since] : idleSince_) cancelWait(*client);
}

}  // namespace tealshelf
