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
  bool complete = false;  ///< the whole answer came
  bool garbled = false;   ///< bytes came that are no answer
  bool timedOut = false;  ///< the caller's patience ended
  string failure;
  TimePoint sentAt, endedAt;
  string header(string_view name) const;
  /// A short text for reports.
  string describe() const;
};

HttpRequest makeRequest(http::verb verb, string const& target, string const& host);
/// Sends a request on a connection of its own and reads the answer; a connection that breaks is told in the answer.
Task<HttpAnswer> callHttp(asio::io_context& io, Address to, HttpRequest request, Ms limit);

}  // namespace tealshelf::soak
