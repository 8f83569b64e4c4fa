#pragma once
#include "wire/http.hpp"

namespace tealshelf {

/// A client's connection, used by one request at a time.
struct ClientConnection {
  explicit ClientConnection(tcp::socket connected) : socket(std::move(connected)) {}
  /// Called before a request is read: nothing is known of it yet.
  void beginRequest();
  /// Called before each head is written: says for good whether another request may follow. A node that is stopping ends
  /// the connection, but for a request that came in behind the present one.
  void decideKeepAlive(bool stopping);
  /// Sends an answer of this system's own, within a limit.
  Task<void> reply(asio::io_context& io, HttpReply answer, Ms limit);
  /// Tells a client that waits for it to send its body.
  Task<error_code> sendContinue();
  /// True if bytes arrived that belong to no request yet.
  bool hasInput();
  /// The bytes that were read and belong to no request yet; valid until the buffer changes.
  string_view received() const;
  /// Drops empty lines before a request.
  void skipEmptyLines();
  /// Cuts the connection off; an answer that is under way stays incomplete.
  void close();

  tcp::socket socket;
  beast::flat_buffer buffer;
  bool headSent = false;  ///< of the answer to the present request
  bool keepAlive = true;  ///< another request may follow
  bool isHead = false;    ///< the present request is a HEAD: its answer has no body
};

}  // namespace tealshelf
