#include "wire/http_message.hpp"

namespace tealshelf {

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

}  // namespace tealshelf
