#pragma once
#include "wire/listener.hpp"

namespace tealshelf {

using HttpRequest = http::request<http::string_body>;

/// A call at a resource of ours.
struct HttpCall {
  string verb, path, body;
  http::fields headers;
  /// A header; "" if there is none of that name.
  string header(string_view name) const;
};

/// An answer of our own.
struct HttpReply {
  int status = 200;
  string body, contentType = "application/json";
  vector<std::pair<string, string>> headers;
};
using HttpHandler = std::function<Task<HttpReply>(HttpCall)>;

/// True for errors of reading a message, false for those of the connection.
bool isHttpError(error_code error);
/// Answers an error as JSON with its code.
HttpReply errorReply(Error const& error);
http::response<http::string_body> makeResponse(HttpReply reply, unsigned httpVersion, bool keepAlive);

/// A small server for the calls of workers, operators and the platform.
class HttpServer {
 public:
  /// Closes connections that are idle, or take to read or write a message, for longer than `idleLimit`.
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
