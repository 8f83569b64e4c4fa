#include "lots/execution/item_schedule.hpp"

namespace tealshelf {

namespace {
/// Items of one service, over all lots.
struct ServiceDemand {
  std::size_t running = 0;
  double wanted = 1;  ///< items that should run at the same time
};
using DemandByService = std::map<string, ServiceDemand, std::less<>>;

DemandByService demandOf(vector<ScheduledLot> const& lots, double meanItemMs) {
  DemandByService demand;
  for (ScheduledLot const& lot : lots) {
    for (auto const& [service, running] : lot.items->runningByService()) demand[service].running += running;
    if (!lot.route) continue;
    std::int64_t const reserve = lot.dueInMs * 3 / 5;
    double const timeLeft = static_cast<double>(lot.remainingMs - reserve);
    double const wanted =
        static_cast<double>(lot.items->unfinished()) * meanItemMs / std::max(timeLeft, meanItemMs / 2);
    for (TrafficShare const& share : lot.route->shares)
      demand[share.service].wanted +=
          wanted * static_cast<double>(share.weight) / static_cast<double>(lot.route->totalWeight);
  }
  return demand;
}

std::set<string, std::less<>> servicesWithRoom(vector<ScheduledLot> const& lots, SlotsOf const& slotsOf,
                                               double meanItemMs) {
  std::set<string, std::less<>> withRoom;
  for (auto const& [service, demand] : demandOf(lots, meanItemMs)) {
    double const limit = std::min(demand.wanted, static_cast<double>(slotsOf(service)) / 2);
    if (static_cast<double>(demand.running) < limit) withRoom.insert(service);
  }
  return withRoom;
}

std::optional<std::uint32_t> firstStartable(ScheduledLot const& lot, std::set<string, std::less<>> const& withRoom) {
  if (!lot.mayStart || !lot.route) return std::nullopt;
  vector<TrafficShare> const& shares = lot.route->shares;
  bool const anyHasRoom = std::any_of(shares.begin(), shares.end(), [&withRoom](TrafficShare const& share) {
    return withRoom.contains(share.service);
  });
  if (!anyHasRoom) return std::nullopt;
  for (std::uint32_t const item : lot.items->queued())
    if (withRoom.contains(serviceOf(lot.items->record(item), *lot.route))) return item;
  return std::nullopt;
}
}  // namespace

string const& serviceOf(ItemRecord const& item, Route const& route) {
  return route.serviceFor(hash64(item.id));
}

std::optional<NextItem> nextItem(vector<ScheduledLot> const& lots, SlotsOf const& slotsOf, double meanItemMs) {
  std::set<string, std::less<>> const withRoom = servicesWithRoom(lots, slotsOf, meanItemMs);
  std::optional<NextItem> next;
  for (std::size_t position = 0; position < lots.size(); ++position) {
    ScheduledLot const& lot = lots[position];
    if (next && lot.remainingMs >= lots[next->lot].remainingMs) continue;
    std::optional<std::uint32_t> const item = firstStartable(lot, withRoom);
    if (item) next = NextItem{position, *item, serviceOf(lot.items->record(*item), *lot.route)};
  }
  return next;
}

bool mayTry(ItemQueue const& items, ItemClaim claim, Route const* route, SlotsOf const& slotsOf) {
  if (!items.isHeld(claim) || !route) return false;
  string const& service = serviceOf(items.record(claim.item), *route);
  return service == items.service(claim.item) && slotsOf(service) > 0;
}

}  // namespace tealshelf
