#include "lots/execution/lot_route.hpp"

namespace tealshelf {

namespace {
LotRoute findRouteOfOlderRecord(LotRecord const& lot, string_view firstItemPath, Configuration const& configuration) {
  vector<Route const*> const routes = configuration.routesOf(lot.host);
  std::size_t bulkRoutes = 0;
  vector<Route const*> sameName;
  for (Route const* const route : routes) {
    if (route->kind != RouteKind::bulk) continue;
    ++bulkRoutes;
    if (route->name == lot.route) sameName.push_back(route);
  }
  if (sameName.size() == 1) return {sameName.front(), false};
  for (Route const* const route : sameName)
    if (firstItemPath.starts_with(route->prefix)) return {route, false};
  return {nullptr, bulkRoutes == 0};
}
}  // namespace

LotRoute findLotRoute(LotRecord const& lot, string_view firstItemPath, Configuration const& configuration) {
  if (lot.routePrefix.empty()) return findRouteOfOlderRecord(lot, firstItemPath, configuration);
  Route const* const route = configuration.findByPrefix(lot.host, lot.routePrefix);
  return {route, !route && configuration.version >= lot.configurationVersion};
}

}  // namespace tealshelf
