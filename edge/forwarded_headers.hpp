#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Selects the end-to-end headers of a message, which a proxy forwards (RFC 9110, 7.6.1): all but the hop-by-hop ones,
/// which are a fixed list and those that the message names in `Connection`.
class ForwardedHeaders {
 public:
  explicit ForwardedHeaders(http::fields const& message);
  bool isForwarded(beast::string_view name) const;

 private:
  vector<string> connectionOptions_;  ///< header names listed in `Connection`, in their original case
};

/// Copies the end-to-end headers of a message; headers of the same name stay separate.
template <class Message>
void copyHeaders(http::fields const& from, Message& to) {
  ForwardedHeaders const forwarded(from);
  for (http::fields::value_type const& header : from)
    if (forwarded.isForwarded(header.name_string())) to.insert(header.name_string(), header.value());
}

}  // namespace tealshelf
