#pragma once
#include "base/tealshelf.hpp"

/// Helpers for coroutines and sockets on the io thread.
namespace tealshelf {

/// Bytes that the kernel keeps of a connection that isn't read, where that is limited.
constexpr int receiveBufferBytes = 32 << 10;

/// Suspends the coroutine for a duration.
Task<void> sleepFor(Ms duration);
/// Starts a concurrent task; an exception that ends it is logged with the task's name.
void spawnTask(asio::io_context& io, string name, Task<void> task);
/// Sets the options of every connection: TCP_NODELAY, and TCP_USER_TIMEOUT for unacknowledged data.
void setSocketOptions(tcp::socket& socket, Ms silenceTimeout);
/// Throws boost::system::system_error if the IP is malformed.
tcp::endpoint endpointOf(Address const& address);

/// Closes a socket when a deadline expires, unless cancelled or destroyed before.
class SocketDeadline {
 public:
  SocketDeadline(asio::io_context& io, tcp::socket& socket) : state_(std::make_shared<State>(io, socket)) {}
  ~SocketDeadline() {
    state_->socket = nullptr;
    state_->timer.cancel();
  }
  SocketDeadline(SocketDeadline const&) = delete;
  SocketDeadline& operator=(SocketDeadline const&) = delete;
  /// Sets the deadline, replacing the current one.
  void expireAt(TimePoint deadline);
  void cancel();
  /// True once the deadline has expired and closed the socket.
  bool expired() const { return state_->expired; }

 private:
  struct State {
    State(asio::io_context& io, tcp::socket& watched) : timer(io), socket(&watched) {}
    asio::steady_timer timer;
    tcp::socket* socket;  ///< null once the SocketDeadline is destroyed
    bool expired = false;
    std::uint64_t generation = 0;  ///< of the current deadline; timer handlers of earlier ones do nothing
  };
  std::shared_ptr<State> state_;
};

}  // namespace tealshelf
