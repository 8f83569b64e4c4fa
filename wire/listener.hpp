#pragma once
#include "wire/tasks.hpp"

namespace tealshelf {

/// Accepts TCP connections at an address.
class Listener {
 public:
  using ConnectionHandler = std::function<void(tcp::socket)>;

  /// Binds and listens; throws boost::system::system_error if the address can't be used.
  Listener(asio::io_context& io, Address const& address, int backlog);
  /// Hands each new connection to the handler, until stop(). The listener must outlive its task.
  void start(string taskName, ConnectionHandler handler);
  void stop();
  /// Limits what the kernel keeps of each connection's bytes, in both directions, until they are read. For connections
  /// that aren't read while a request is under way.
  void limitSocketBuffers();

 private:
  Task<void> acceptLoop(ConnectionHandler handler);

  asio::io_context& io_;
  tcp::acceptor acceptor_;
};

}  // namespace tealshelf
