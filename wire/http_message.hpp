#pragma once
#include "base/tealshelf.hpp"

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

/// True for errors in parsing a message, false for errors of the connection.
bool isHttpError(error_code error);
/// Builds the JSON reply for an error, with its code.
HttpReply errorReply(Error const& error);
http::response<http::string_body> makeResponse(HttpReply reply, unsigned httpVersion, bool keepAlive);

}  // namespace tealshelf
