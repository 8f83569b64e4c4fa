#pragma once
#include "wire/http.hpp"
#include "wire/tasks.hpp"

namespace tealshelf::soak {

/// What came back on one connection.
struct HttpAnswer {
  int status = 0;  ///< 0 if no head came
  http::fields headers;
  string body;  ///< as far as it came
  bool connected = false;
  bool complete = false;   ///< the whole answer came
  bool garbled = false;    ///< bytes came that are no answer
  bool timedOut = false;   ///< the caller's patience ended
  bool keepAlive = false;  ///< the connection may be used on
  string failure;
  TimePoint sentAt, endedAt;
  string header(string_view name) const;
  /// A short text for reports.
  string describe() const;
};

/// How near to a fault of its node an answer may be that isn't judged.
constexpr Ms outageMargin{300};
/// True for a status that says that nothing ran or will.
constexpr bool isNotRunStatus(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/// The key of the only tenant, which every request bears.
constexpr string_view tenantKey = "soak0key1of2the3tenant";
HttpRequest makeRequest(http::verb verb, string const& target, string const& host);
/// A connection that is kept for many requests.
struct PersistentConnection {
  explicit PersistentConnection(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  beast::flat_buffer buffer;
};
/// Opens it; false if that isn't done in time.
Task<bool> connectTo(asio::io_context& io, PersistentConnection& connection, Address to, Ms limit);
/// Sends a request on an open connection and reads the answer; whether more may be sent is told by its headers.
Task<HttpAnswer> callOn(asio::io_context& io, PersistentConnection& connection, HttpRequest request, Ms limit);
/// Sends a request on a connection of its own and reads the answer; a connection that breaks is told in the answer.
Task<HttpAnswer> callHttp(asio::io_context& io, Address to, HttpRequest request, Ms limit);

}  // namespace tealshelf::soak
