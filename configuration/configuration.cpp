#include "configuration/configuration.hpp"

namespace tealshelf {

string const& Route::serviceFor(std::uint64_t hash) const {
  std::uint64_t place = hash % std::max<std::uint64_t>(1, totalWeight);
  for (TrafficShare const& share : shares) {
    if (place < share.weight) return share.service;
    place -= share.weight;
  }
  return shares.front().service;
}

Route const* Configuration::findRoute(string_view host, string_view path) const {
  string_view const withoutQuery = path.substr(0, path.find('?'));
  auto const found = routesByHost.find(host);
  if (found == routesByHost.end()) return nullptr;
  for (std::uint32_t const index : found->second) {
    string const& prefix = routes[index].prefix;
    if (withoutQuery.substr(0, prefix.size()) == prefix) return &routes[index];
  }
  return nullptr;
}

Route const* Configuration::findByName(string_view name) const {
  for (Route const& route : routes)
    if (route.name == name) return &route;
  return nullptr;
}

}  // namespace tealshelf
