#pragma once
#include "wire/http_message.hpp"
#include "wire/overload_manager.hpp"
#include "wire/tasks.hpp"

namespace tealshelf {

/// A connection that a peer opened and on which it sends requests one after the other.
struct PeerConnection {
  PeerConnection(tcp::socket connected, std::unique_ptr<PeerHold> held);
  ~PeerConnection();
  PeerConnection(PeerConnection const&) = delete;
  PeerConnection& operator=(PeerConnection const&) = delete;
  /// Sends the reason for which the connection is refused, then discards what still arrives, until the peer ends the
  /// connection, `limit` has passed or `maxBytes` were discarded. Closing at once could reset the connection before the
  /// peer has read the reason.
  Task<void> refuse(asio::io_context& io, HttpReply answer, Ms limit, std::uint64_t maxBytes);
  /// Closes the connection; an answer that is being sent stays incomplete.
  void close();

  tcp::socket socket;
  string unparsed;  ///< bytes that were read but not parsed yet
  std::unique_ptr<PeerHold> const hold;
};

/// The answer to a request for which this process has no room.
HttpReply overloadReply();

}  // namespace tealshelf
