#include "edge/forwarded_headers.hpp"

namespace tealshelf {

namespace {
/// Of one connection whatever `Connection` says; the length is made anew with the message.
constexpr string_view hopByHop[] = {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
                                    "TE",         "Trailer",    "Upgrade",          "Content-Length"};
/// Without these a request can't be told; naming them in `Connection` is a mistake of the sender.
constexpr string_view identifying[] = {"Host", "Attempt-Id"};

template <class Names>
bool isAnyOf(beast::string_view name, Names const& names) {
  return std::any_of(std::begin(names), std::end(names), [name](string_view candidate) {
    return beast::iequals(name, beast::string_view(candidate.data(), candidate.size()));
  });
}
}  // namespace

ForwardedHeaders::ForwardedHeaders(http::fields const& message) {
  auto const [first, end] = message.equal_range(http::field::connection);
  for (auto header = first; header != end; ++header)
    for (beast::string_view const option : http::token_list(header->value()))
      if (!isAnyOf(option, identifying)) connectionOptions_.emplace_back(option.data(), option.size());
}

bool ForwardedHeaders::isForwarded(beast::string_view name) const {
  return !isAnyOf(name, hopByHop) && !isAnyOf(name, connectionOptions_);
}

}  // namespace tealshelf
