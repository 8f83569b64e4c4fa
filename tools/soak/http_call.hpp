#pragma once
#include "wire/http.hpp"
#include "wire/tasks.hpp"

namespace tealshelf::soak {

/// The response to one request, or how the call failed.
struct HttpAnswer {
  int status = 0;  ///< 0 if no response header arrived
  http::fields headers;
  string body;  ///< as far as it was received
  bool connected = false;
  bool complete = false;   ///< the whole response was received
  bool garbled = false;    ///< the received bytes aren't an HTTP response
  bool timedOut = false;   ///< the call's time limit expired
  bool keepAlive = false;  ///< the connection may be reused
  string failure;
  TimePoint sentAt, endedAt;
  string header(string_view name) const;
  /// Short text for failure messages.
  string describe() const;
};

/// Missing answers aren't reported if the node had an outage within this margin of the call.
constexpr Ms outageMargin{300};
/// True for a status with which the node guarantees that the request hasn't run and won't.
constexpr bool isNotRunStatus(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/// API key of the only tenant, sent with every request.
constexpr string_view tenantKey = "soak0key1of2the3tenant";
HttpRequest makeRequest(http::verb verb, string const& target, string const& host);
/// A connection that is reused for many requests.
struct PersistentConnection {
  explicit PersistentConnection(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  beast::flat_buffer buffer;
};
/// Opens the connection; false on failure or timeout.
Task<bool> connectTo(asio::io_context& io, PersistentConnection& connection, Address to, Ms limit);
/// Sends a request on an open connection and reads the answer; HttpAnswer::keepAlive tells whether to reuse it.
Task<HttpAnswer> callOn(asio::io_context& io, PersistentConnection& connection, HttpRequest request, Ms limit);
/// Sends a request on a new connection and reads the answer; connection errors are returned in the answer.
Task<HttpAnswer> callHttp(asio::io_context& io, Address to, HttpRequest request, Ms limit);

}  // namespace tealshelf::soak
