#include "tenants/caller.hpp"

namespace tealshelf {

namespace {
constexpr char const* tenantHeader = "Customer";
constexpr string_view scheme = "Bearer";

string_view trimmed(string_view text) {
  std::size_t const first = text.find_first_not_of(" \t");
  if (first == string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}
}  // namespace

std::optional<string_view> bearerKey(http::fields const& headers) {
  auto const [first, end] = headers.equal_range(http::field::authorization);
  // With two Authorization headers, it is not known which one identifies the sender.
  if (first == end || std::next(first) != end) return std::nullopt;
  string_view const value = trimmed(string_view(first->value().data(), first->value().size()));
  std::size_t const space = value.find(' ');
  if (space == string_view::npos) return std::nullopt;
  string_view const requestScheme = value.substr(0, space);
  bool const isBearer = beast::iequals(beast::string_view(requestScheme.data(), requestScheme.size()),
                                       beast::string_view(scheme.data(), scheme.size()));
  if (!isBearer) return std::nullopt;
  return trimmed(value.substr(space));
}

Caller identifyCaller(Configuration const& configuration, http::fields const& headers, KeyRequirement need) {
  if (!configuration.needsKeys) return {};
  std::optional<string_view> const key = bearerKey(headers);
  Tenant const* const tenant = key ? configuration.findTenantByKey(*key) : nullptr;
  if (tenant) return {CallerStatus::tenant, tenant};
  return {need == KeyRequirement::optional ? CallerStatus::anonymous : CallerStatus::refused, nullptr};
}

void replaceIdentity(http::fields& headers, Configuration const& configuration, string const& tenantName) {
  if (!configuration.needsKeys && tenantName.empty()) return;
  headers.erase(http::field::authorization);
  headers.erase(tenantHeader);
  if (!tenantName.empty()) headers.set(tenantHeader, tenantName);
}

}  // namespace tealshelf
