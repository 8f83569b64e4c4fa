#include "tools/soak/http_call.hpp"

namespace tealshelf::soak {

namespace {
constexpr std::uint64_t maxAnswerBytes = 64u << 20;
constexpr std::size_t maxShownBody = 120;

/// True for bytes that aren't an HTTP response, as opposed to a truncated response.
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
  if (!complete) text += timedOut ? ", timed out" : ", incomplete (" + failure + ")";
  return text + " after " + std::to_string(took) + " ms " + body.substr(0, maxShownBody);
}

HttpRequest makeRequest(http::verb verb, string const& target, string const& host) {
  HttpRequest request(verb, target, 11);
  request.set(http::field::host, host);
  request.set(http::field::authorization, "Bearer " + string(tenantKey));
  request.keep_alive(false);
  return request;
}

Task<bool> connectTo(asio::io_context& io, PersistentConnection& connection, Address to, Ms limit) {
  SocketDeadline deadline(io, connection.socket);
  deadline.expireAt(Clock::now() + limit);
  error_code error;
  co_await connection.socket.async_connect(endpointOf(to), asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Task<HttpAnswer> callOn(asio::io_context& io, PersistentConnection& connection, HttpRequest request, Ms limit) {
  HttpAnswer answer;
  answer.sentAt = Clock::now();
  answer.connected = true;
  request.prepare_payload();
  SocketDeadline deadline(io, connection.socket);
  deadline.expireAt(answer.sentAt + limit);
  http::response_parser<http::string_body> parser;
  parser.body_limit(maxAnswerBytes);
  error_code error;
  co_await http::async_write(connection.socket, request, asio::redirect_error(asio::use_awaitable, error));
  // The node may respond before it has read the whole request, so read the response even after a write error.
  co_await http::async_read(connection.socket, connection.buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  answer.endedAt = Clock::now();
  answer.timedOut = deadline.expired();
  answer.complete = !error && parser.is_done();
  answer.garbled = isGarbled(error);
  if (error) answer.failure = error.message();
  if (parser.is_header_done()) {
    answer.keepAlive = answer.complete && parser.get().keep_alive();
    answer.status = static_cast<int>(parser.get().result_int());
    answer.body = std::move(parser.get().body());
    answer.headers = std::move(parser.get().base());
  }
  co_return answer;
}

Task<HttpAnswer> callHttp(asio::io_context& io, Address to, HttpRequest request, Ms limit) {
  TimePoint const startedAt = Clock::now();
  PersistentConnection connection(io);
  bool const connected = co_await connectTo(io, connection, to, limit);
  HttpAnswer answer;
  answer.failure = "refused or timed out";
  if (connected) {
    Ms const left(std::max<std::int64_t>(1, remainingMs(startedAt + limit)));
    answer = co_await callOn(io, connection, std::move(request), left);
  }
  answer.sentAt = startedAt;
  if (!connected) answer.endedAt = Clock::now();
  co_return answer;
}

}  // namespace tealshelf::soak
