#pragma once
#include "base/tealshelf.hpp"

/// Helpers for coroutines and sockets on the io thread.
namespace tealshelf {

/// Waits; returns early when the timer is cancelled.
Task<void> sleepFor(Ms duration);
/// Starts a task that runs beside the others; what it throws is logged under its name.
void spawnTask(asio::io_context& io, string name, Task<void> task);
/// Sets the options that every connection of ours has: no delay of small writes, and an end after so long a silence.
void setSocketOptions(tcp::socket& socket, Ms silenceTimeout);
/// Throws boost::system::system_error if the IP is malformed.
tcp::endpoint endpointOf(Address const& address);

/// Closes a socket when the time is up unless it is cancelled before. It may be destroyed before the time is up.
class SocketDeadline {
 public:
  SocketDeadline(asio::io_context& io, tcp::socket& socket) : state_(std::make_shared<State>(io, socket)) {}
  ~SocketDeadline() {
    state_->socket = nullptr;
    state_->timer.cancel();
  }
  SocketDeadline(SocketDeadline const&) = delete;
  SocketDeadline& operator=(SocketDeadline const&) = delete;
  /// Replaces the present deadline.
  void expireAt(TimePoint deadline);
  void cancel();
  /// True once it closed the socket.
  bool expired() const { return state_->expired; }

 private:
  struct State {
    State(asio::io_context& io, tcp::socket& watched) : timer(io), socket(&watched) {}
    asio::steady_timer timer;
    tcp::socket* socket;  ///< null once the deadline object is gone
    bool expired = false;
    std::uint64_t generation = 0;  ///< of the present deadline; an earlier one does nothing
  };
  std::shared_ptr<State> state_;
};

}  // namespace tealshelf
