#pragma once
#include "base/metrics.hpp"
#include "lots/execution/item_schedule.hpp"
#include "lots/execution/lot_run.hpp"

namespace tealshelf {

/// What an item that hasn't ended waits for.
enum class ItemWait : char {
  record,   ///< a new record of its lot, without which no item is started and no result listed
  route,    ///< a configuration with its route
  workers,  ///< workers of its service
  turn,     ///< its turn at the workers of its service
  answer,   ///< a worker that takes it, or the answer of one
  listing   ///< the disks of all holders: it has its result
};
inline constexpr std::size_t itemWaitCount = 6;
/// Label of a metric.
string_view nameOf(ItemWait wait);

/// What the items of a lot wait for; the route is null if none is known.
std::set<ItemWait> waitsOf(LotRun const& run, Route const* route, SlotsOf const& slotsOf);

/// Metrics of the items that haven't ended: for each thing they wait for, the age of the oldest.
class ItemWaitMetrics {
 public:
  ItemWaitMetrics();
  void beginSample() { oldest_.fill(Ms(0)); }
  void count(std::set<ItemWait> const& waits, Ms age);
  void endSample();

 private:
  std::array<Ms, itemWaitCount> oldest_{};
  vector<Gauge> gauges_;
};

}  // namespace tealshelf
