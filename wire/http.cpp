#include "wire/http.hpp"

namespace tealshelf {

namespace {
constexpr int backlog = 512;

/// The reply to a request that can't be parsed; nullopt if the connection is to be closed without one.
std::optional<HttpReply> replyToUnreadable(error_code error, bool connectionIsOpen) {
  if (error == http::error::body_limit) return errorReply(Error(ErrorCode::bodyTooLong));
  if (error == http::error::end_of_stream || !connectionIsOpen || !isHttpError(error)) return std::nullopt;
  return errorReply(Error(ErrorCode::badHeaders));
}
}  // namespace

bool isHttpError(error_code error) {
  return error.category() == http::make_error_code(http::error::end_of_stream).category();
}

string HttpCall::header(string_view name) const {
  beast::string_view const value = headers[beast::string_view(name.data(), name.size())];
  return string(value.data(), value.size());
}

HttpReply errorReply(Error const& error) {
  HttpReply reply;
  reply.status = error.status();
  reply.body = "{\"error\":\"E" + std::to_string(static_cast<int>(error.code())) + "\",\"message\":\"" +
               string(errorInfo(error.code()).text) + "\"}";
  return reply;
}

http::response<http::string_body> makeResponse(HttpReply reply, unsigned httpVersion, bool keepAlive) {
  http::response<http::string_body> response(static_cast<http::status>(reply.status), httpVersion);
  if (!reply.body.empty()) response.set(http::field::content_type, reply.contentType);
  for (auto const& [name, value] : reply.headers) response.set(name, value);
  response.body() = std::move(reply.body);
  response.keep_alive(keepAlive);
  response.prepare_payload();
  return response;
}

HttpServer::HttpServer(asio::io_context& io, Address const& address, HttpHandler handler, std::uint64_t maxBodyBytes,
                       Ms idleLimit)
    : io_(io),
      handler_(std::move(handler)),
      maxBodyBytes_(maxBodyBytes),
      idleLimit_(idleLimit),
      listener_(io, address, backlog) {}

void HttpServer::start() {
  listener_.start("http listener", [this](tcp::socket socket) {
    spawnTask(io_, "http connection", serve(std::make_shared<tcp::socket>(std::move(socket))));
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

Task<void> HttpServer::serve(std::shared_ptr<tcp::socket> socket) {
  setSocketOptions(*socket, idleLimit_);
  beast::flat_buffer buffer;
  SocketDeadline deadline(io_, *socket);
  error_code error;
  bool keepAlive = true;
  while (keepAlive && !error) {
    Parser parser;
    parser.body_limit(maxBodyBytes_);
    deadline.expireAt(Clock::now() + idleLimit_);
    co_await http::async_read(*socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    deadline.cancel();
    bool const open = socket->is_open() && !deadline.expired();
    if (!error && !open) break;
    unsigned const version = error ? 11 : parser.get().version();
    keepAlive = !error && parser.get().keep_alive();
    std::optional<HttpReply> reply;
    if (error)
      reply = replyToUnreadable(error, open);
    else
      reply = co_await handle(parser.get());
    if (!reply) break;
    http::response<http::string_body> response = makeResponse(std::move(*reply), version, keepAlive);
    deadline.expireAt(Clock::now() + idleLimit_);
    co_await http::async_write(*socket, response, asio::redirect_error(asio::use_awaitable, error));
    deadline.cancel();
  }
  error_code ignored;
  socket->shutdown(tcp::socket::shutdown_both, ignored);
  socket->close(ignored);
}

}  // namespace tealshelf
