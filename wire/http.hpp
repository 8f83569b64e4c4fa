#pragma once
#include "wire/listener.hpp"
#include "wire/peer_connection.hpp"
#include "wire/request_reader.hpp"

namespace tealshelf {

using HttpHandler = std::function<Task<HttpReply>(HttpCall)>;

/// A small HTTP server for requests of workers, operators and the platform.
class HttpServer {
 public:
  /// Closes connections that are idle, or read or write one message, for longer than `idleLimit`.
  HttpServer(asio::io_context& io, Address const& address, HttpHandler handler, std::uint64_t maxBodyBytes,
             Ms idleLimit, PeerKind peerKind = PeerKind::client);
  void start();
  void stop() { listener_.stop(); }

 private:
  Task<void> serve(std::shared_ptr<PeerConnection> peer);
  /// Waits until a request begins to arrive; false if none does.
  Task<bool> awaitRequest(PeerConnection& peer);
  /// Reads one request and answers it; true if another may follow.
  Task<bool> serveRequest(PeerConnection& peer);
  Task<HttpReply> handle(HttpRequest& request);
  /// Sends an answer; false if that fails or the process has no room for it.
  Task<bool> reply(PeerConnection& peer, HttpReply answer, unsigned httpVersion, bool keepAlive);
  Task<void> refuse(PeerConnection& peer, ErrorCode code);

  asio::io_context& io_;
  HttpHandler handler_;
  std::uint64_t maxBodyBytes_;
  Ms idleLimit_;
  PeerKind peerKind_;
  Listener listener_;
};

}  // namespace tealshelf
