#include "lots/execution/item_waits.hpp"

namespace tealshelf {

string_view nameOf(ItemWait wait) {
  switch (wait) {
    case ItemWait::record:
      return "record";
    case ItemWait::route:
      return "route";
    case ItemWait::workers:
      return "workers";
    case ItemWait::turn:
      return "turn";
    case ItemWait::answer:
      return "answer";
    case ItemWait::listing:
      return "listing";
  }
  return "";
}

std::set<ItemWait> waitsOf(LotRun const& run, Route const* route, SlotsOf const& slotsOf) {
  std::set<ItemWait> waits;
  if (run.listedResults >= run.items.size()) return waits;
  if (run.stalled) return {ItemWait::record};
  if (!run.unlistedResults.empty()) waits.insert(ItemWait::listing);
  if (run.items.running()) waits.insert(ItemWait::answer);
  for (std::uint32_t const item : run.items.queued()) {
    if (!route) {
      waits.insert(ItemWait::route);
      break;
    }
    bool const hasWorkers = slotsOf(serviceOf(run.items.record(item), *route)) > 0;
    waits.insert(hasWorkers ? ItemWait::turn : ItemWait::workers);
  }
  return waits;
}

ItemWaitMetrics::ItemWaitMetrics() {
  for (std::size_t wait = 0; wait < itemWaitCount; ++wait)
    gauges_.push_back(metrics().gauge("tealshelf_store_oldest_item_seconds",
                                      "Age of the oldest item of a lot run here that hasn't ended.",
                                      {{"waits_for", string(nameOf(static_cast<ItemWait>(wait)))}}));
}

void ItemWaitMetrics::count(std::set<ItemWait> const& waits, Ms age) {
  for (ItemWait const wait : waits) {
    Ms& oldest = oldest_.at(static_cast<std::size_t>(wait));
    oldest = std::max(oldest, age);
  }
}

void ItemWaitMetrics::endSample() {
  for (std::size_t wait = 0; wait < itemWaitCount; ++wait)
    gauges_[wait].set(std::chrono::duration<double>(oldest_[wait]).count());
}

}  // namespace tealshelf
