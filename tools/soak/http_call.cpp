#include "tools/soak/http_call.hpp"

namespace tealshelf::soak {

namespace {
constexpr std::uint64_t maxAnswerBytes = 64u << 20;
constexpr std::size_t maxShownBody = 120;

/// Bytes that are no answer, as opposed to an answer that was cut off.
bool isGarbled(error_code error) {
  return isHttpError(error) && error != http::error::end_of_stream && error != http::error::partial_message;
}
}  // namespace

string HttpAnswer::header(string_view name) const {
  beast::string_view const value = headers[beast::string_view(name.data(), name.size())];
  return string(value.data(), value.size());
}

string HttpAnswer::describe() const {
  if (!connected) return "no connection (" + failure + ")";
  auto const took = std::chrono::duration_cast<Ms>(endedAt - sentAt).count();
  string text = status ? "status " + std::to_string(status) : "no answer";
  if (!complete) text += timedOut ? ", the time was up" : ", broken off (" + failure + ")";
  return text + " after " + std::to_string(took) + " ms " + body.substr(0, maxShownBody);
}

HttpRequest makeRequest(http::verb verb, string const& target, string const& host) {
  HttpRequest request(verb, target, 11);
  request.set(http::field::host, host);
  request.keep_alive(false);
  return request;
}

Task<HttpAnswer> callHttp(asio::io_context& io, Address to, HttpRequest request, Ms limit) {
  HttpAnswer answer;
  answer.sentAt = Clock::now();
  request.prepare_payload();
  tcp::socket socket(io);
  SocketDeadline deadline(io, socket);
  deadline.expireAt(answer.sentAt + limit);
  error_code error;
  co_await socket.async_connect(endpointOf(to), asio::redirect_error(asio::use_awaitable, error));
  answer.connected = !error;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(maxAnswerBytes);
  if (!error) co_await http::async_write(socket, request, asio::redirect_error(asio::use_awaitable, error));
  // A node may answer before it has read all; the answer counts all the same.
  if (answer.connected)
    co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  answer.endedAt = Clock::now();
  answer.timedOut = deadline.expired();
  answer.complete = !error && parser.is_done();
  answer.garbled = isGarbled(error);
  if (error) answer.failure = error.message();
  if (parser.is_header_done()) {
    answer.status = static_cast<int>(parser.get().result_int());
    answer.body = std::move(parser.get().body());
    answer.headers = std::move(parser.get().base());
  }
  co_return answer;
}

}  // namespace tealshelf::soak
