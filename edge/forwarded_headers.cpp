#include "edge/forwarded_headers.hpp"

namespace tealshelf {

namespace {
/// Never forwarded, whatever `Connection` lists. Content-Length is set anew for the forwarded message.
constexpr string_view hopByHop[] = {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
                                    "TE",         "Trailer",    "Upgrade",          "Content-Length"};
/// Always forwarded, since they identify a request; a sender that lists them in `Connection` is in error.
constexpr string_view alwaysForwarded[] = {"Host", "Attempt-Id"};

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
      if (!isAnyOf(option, alwaysForwarded)) connectionOptions_.emplace_back(option.data(), option.size());
}

bool ForwardedHeaders::isForwarded(beast::string_view name) const {
  return !isAnyOf(name, hopByHop) && !isAnyOf(name, connectionOptions_);
}

}  // namespace tealshelf
