#pragma once
#include "wire/listener.hpp"

namespace tealshelf {

using HttpRequest = http::request<http::string_body>;

/// A request to a resource of this process.
struct HttpCall {
  string verb, path, body;
  http::fields headers;
  /// The value of a header; "" if it is missing.
  string header(string_view name) const;
};

/// A response of this process.
struct HttpReply {
  int status = 200;
  string body, contentType = "application/json";
  vector<std::pair<string, string>> headers;
};
using HttpHandler = std::function<Task<HttpReply>(HttpCall)>;

/// True for errors in parsing a message, false for errors of the connection.
bool isHttpError(error_code error);
/// Builds the JSON reply for an error, with its code.
HttpReply errorReply(Error const& error);
http::response<http::string_body> makeResponse(HttpReply reply, unsigned httpVersion, bool keepAlive);

/// A small HTTP server for requests of workers, operators and the platform.
class HttpServer {
 public:
  /// Closes connections that are idle, or read or write one message, for longer than `idleLimit`.
  HttpServer(asio::io_context& io, Address const& address, HttpHandler handler, std::uint64_t maxBodyBytes,
             Ms idleLimit);
  void start();
  void stop() { listener_.stop(); }

 private:
  using Parser = http::request_parser<http::string_body>;
  Task<void> serve(std::shared_ptr<tcp::socket> socket);
  Task<HttpReply> handle(HttpRequest& request);

  asio::io_context& io_;
  HttpHandler handler_;
  std::uint64_t maxBodyBytes_;
  Ms idleLimit_;
  Listener listener_;
};

}  // namespace tealshelf
