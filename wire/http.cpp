#include "wire/http.hpp"

namespace tealshelf {

namespace {
constexpr int backlog = 512;
constexpr std::size_t maxCallHeaderBytes = 16u << 10;
/// Copies of a body while its request is under way: as received, as parsed, and as sent on to another node.
constexpr std::size_t callBodyCopies = 3;
/// Of a small answer.
constexpr std::size_t answerBytes = 16u << 10;
}  // namespace

HttpServer::HttpServer(asio::io_context& io, Address const& address, HttpHandler handler, std::uint64_t maxBodyBytes,
                       Ms idleLimit, PeerKind peerKind)
    : io_(io),
      handler_(std::move(handler)),
      maxBodyBytes_(maxBodyBytes),
      idleLimit_(idleLimit),
      peerKind_(peerKind),
      listener_(io, address, backlog) {
  listener_.limitSocketBuffers();
}

void HttpServer::start() {
  listener_.start("http listener", [this](tcp::socket socket) {
    std::unique_ptr<PeerHold> hold = overloadManager().admit(peerKind_);
    if (!hold) return;
    spawnTask(io_, "http connection", serve(std::make_shared<PeerConnection>(std::move(socket), std::move(hold))));
  });
}

Task<HttpReply> HttpServer::handle(HttpRequest& request) {
  HttpCall call{string(request.method_string().data(), request.method_string().size()),
                string(request.target().data(), request.target().size()), std::move(request.body()),
                std::move(request.base())};
  try {
    co_return co_await handler_(std::move(call));
  } catch (Error const& error) {
    co_return errorReply(error);
  } catch (std::exception const& error) {
    logWarning("http", string("a request handler failed, replying with status 500: ") + error.what());
    co_return HttpReply{500, "{}", "application/json", {}};
  }
}

Task<void> HttpServer::refuse(PeerConnection& peer, ErrorCode code) {
  HttpReply answer = code == ErrorCode::overloaded ? overloadReply() : errorReply(Error(code));
  co_await peer.refuse(io_, std::move(answer), idleLimit_, maxBodyBytes_);
}

Task<void> HttpServer::serve(std::shared_ptr<PeerConnection> peer) {
  setSocketOptions(peer->socket, idleLimit_);
  if (peer->hold->mustLeave()) co_return co_await refuse(*peer, ErrorCode::overloaded);
  bool mayContinue = true;
  while (mayContinue) {
    mayContinue = co_await awaitRequest(*peer);
    if (mayContinue) mayContinue = co_await serveRequest(*peer);
  }
  error_code ignored;
  peer->socket.shutdown(tcp::socket::shutdown_both, ignored);
  peer->close();
}

Task<bool> HttpServer::awaitRequest(PeerConnection& peer) {
  if (!peer.unparsed.empty()) co_return true;
  SocketDeadline deadline(io_, peer.socket);
  deadline.expireAt(Clock::now() + idleLimit_);
  error_code error;
  co_await peer.socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  co_return !error && peer.socket.is_open();
}

Task<bool> HttpServer::serveRequest(PeerConnection& peer) {
  RequestLimits limits{maxCallHeaderBytes, maxBodyBytes_, idleLimit_, idleLimit_};
  limits.bodyCopies = callBodyCopies;
  limits.workBytes = answerBytes;
  RequestOutcome outcome = co_await readRequest(io_, peer, limits, nullptr);
  if (outcome.refusal) co_await refuse(peer, *outcome.refusal);
  if (!outcome.request) co_return false;
  HttpRequest& request = *outcome.request;
  unsigned const version = request.version();
  bool const wantsMore = request.keep_alive();
  HttpReply answer = co_await handle(request);
  bool const keepAlive = wantsMore && !peer.hold->isUnderPressure();
  request = HttpRequest();
  bool const sent = co_await reply(peer, std::move(answer), version, keepAlive);
  co_return sent&& keepAlive;
}

Task<bool> HttpServer::reply(PeerConnection& peer, HttpReply answer, unsigned httpVersion, bool keepAlive) {
  bool const fits = peer.hold->hold(HeldPart::request, 0) && peer.hold->hold(HeldPart::answer, answer.body.size()) &&
                    peer.hold->enter(PeerPhase::writing);
  if (!fits) {
    // The request ran, so that a 503 would promise too much.
    co_await refuse(peer, ErrorCode::answerNotHeld);
    co_return false;
  }
  http::response<http::string_body> response = makeResponse(std::move(answer), httpVersion, keepAlive);
  SocketDeadline deadline(io_, peer.socket);
  deadline.expireAt(Clock::now() + idleLimit_);
  error_code error;
  co_await http::async_write(peer.socket, response, asio::redirect_error(asio::use_awaitable, error));
  deadline.cancel();
  bool const isFree = peer.hold->hold(HeldPart::answer, 0) && peer.hold->enter(PeerPhase::idle);
  co_return isFree && !error;
}

}  // namespace tealshelf
