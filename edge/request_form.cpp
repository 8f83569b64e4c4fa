#include "edge/request_form.hpp"

namespace tealshelf {

namespace {
constexpr unsigned version10 = 10, version11 = 11;
constexpr string_view absolutePrefix = "http://";

std::size_t countOf(http::fields const& head, http::field name) {
  auto const [first, end] = head.equal_range(name);
  return static_cast<std::size_t>(std::distance(first, end));
}
}  // namespace

bool isUnambiguous(http::fields const& head, unsigned version) {
  if (version != version10 && version != version11) return false;
  std::size_t const hosts = countOf(head, http::field::host), codings = countOf(head, http::field::transfer_encoding);
  bool const hasHost = hosts == 1 || (hosts == 0 && version == version10);
  if (!hasHost || codings > 1) return false;
  bool const isChunked =
      codings == 1 && version == version11 && beast::iequals(head[http::field::transfer_encoding], "chunked");
  return codings == 0 || isChunked;
}

void useOriginForm(HttpRequest& request) {
  beast::string_view const prefix(absolutePrefix.data(), absolutePrefix.size());
  bool const isAbsolute =
      request.target().size() > prefix.size() && beast::iequals(request.target().substr(0, prefix.size()), prefix);
  if (!isAbsolute) return;
  string const target(request.target().data(), request.target().size());
  std::size_t const path = std::min(target.find_first_of("/?", absolutePrefix.size()), target.size());
  string origin = target.substr(path);
  if (origin.empty() || origin.front() != '/') origin.insert(0, "/");
  request.set(http::field::host, target.substr(absolutePrefix.size(), path - absolutePrefix.size()));
  request.target(origin);
}

}  // namespace tealshelf
