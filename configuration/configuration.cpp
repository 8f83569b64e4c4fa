#include "configuration/configuration.hpp"

namespace tealshelf {

string const& Route::serviceFor(std::uint64_t hash) const {
  std::uint64_t position = hash % std::max<std::uint64_t>(1, totalWeight);
  for (TrafficShare const& share : shares) {
    if (position < share.weight) return share.service;
    position -= share.weight;
  }
  return shares.front().service;
}

vector<Route const*> Configuration::routesOf(string_view host) const {
  vector<Route const*> ofHost;
  auto const found = routesByHost.find(host);
  if (found == routesByHost.end()) return ofHost;
  for (std::uint32_t const index : found->second) ofHost.push_back(&routes[index]);
  return ofHost;
}

Route const* Configuration::findRoute(string_view host, string_view path) const {
  string_view const withoutQuery = path.substr(0, path.find('?'));
  auto const found = routesByHost.find(host);
  if (found == routesByHost.end()) return nullptr;
  for (std::uint32_t const index : found->second)
    if (withoutQuery.starts_with(routes[index].prefix)) return &routes[index];
  return nullptr;
}

Route const* Configuration::findByPrefix(string_view host, string_view prefix) const {
  auto const found = routesByHost.find(host);
  if (found == routesByHost.end()) return nullptr;
  for (std::uint32_t const index : found->second)
    if (routes[index].prefix == prefix) return &routes[index];
  return nullptr;
}

Tenant const* Configuration::findTenantByKey(string_view key) const {
  std::optional<std::uint32_t> const index = keys.find(key);
  return index ? &tenants[*index] : nullptr;
}

Tenant const* Configuration::findTenant(string_view name) const {
  auto const found = tenantsByName.find(name);
  return found == tenantsByName.end() ? nullptr : &tenants[found->second];
}

}  // namespace tealshelf
