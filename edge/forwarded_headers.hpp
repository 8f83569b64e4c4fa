#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Tells which headers of a message go on to the other side (RFC 9110, 7.6.1): all but those that concern one
/// connection only, which are a fixed list and those that the message names in `Connection`.
class ForwardedHeaders {
 public:
  explicit ForwardedHeaders(http::fields const& message);
  bool isForwarded(beast::string_view name) const;

 private:
  vector<string> connectionOptions_;  ///< names in `Connection`, as they were written
};

/// Copies the headers of a message that go on to the other side; equal names stay apart.
template <class Message>
void copyHeaders(http::fields const& from, Message& to) {
  ForwardedHeaders const forwarded(from);
  for (http::fields::value_type const& header : from)
    if (forwarded.isForwarded(header.name_string())) to.insert(header.name_string(), header.value());
}

}  // namespace tealshelf
