#pragma once
#include "wire/http.hpp"

namespace tealshelf {

/// A client's connection, used by one request at a time.
struct ClientConnection {
  explicit ClientConnection(tcp::socket connected) : socket(std::move(connected)) {}
  /// Sends an answer of this system's own, within a limit.
  Task<void> reply(asio::io_context& io, HttpReply answer, Ms limit);
  void close();

  tcp::socket socket;
  beast::flat_buffer buffer;
  bool headSent = false;  ///< of the answer to the present request
  bool keepAlive = true;  ///< another request may follow
};

}  // namespace tealshelf
