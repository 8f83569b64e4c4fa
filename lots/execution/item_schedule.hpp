#pragma once
#include "lots/execution/item_queue.hpp"
#include "lots/execution/lot_route.hpp"

namespace tealshelf {

/// What the choice of the next item depends on of one lot.
struct ScheduledLot {
  ItemQueue const* items = nullptr;
  Route const* route = nullptr;  ///< where its items run; null if that isn't known
  std::int64_t dueInMs = 0;      ///< from the submission
  std::int64_t remainingMs = 0;  ///< until the lot is due; negative after that
  bool mayStart = true;          ///< false if no item may be started now
};

/// An item that may be started, and the service that is to run it.
struct NextItem {
  std::size_t lot = 0;  ///< position in the list of lots
  std::uint32_t item = 0;
  string service;
};

/// Capacity of all workers of a service, in concurrent requests.
using SlotsOf = std::function<std::uint64_t(string const& service)>;

/// The service of a route that runs an item.
string const& serviceOf(ItemRecord const& item, Route const& route);

/// The first queued item of the most urgent lot that has one whose service has room for another item; nothing if there
/// is none.
///
/// Each service has a limit of its own for items that run at the same time: at most half of its slots, and no more than
/// let each lot finish within two fifths of its time if an item takes `meanItemMs`. So a lot whose workers are lost,
/// slow or full holds back no lot of another service.
std::optional<NextItem> nextItem(vector<ScheduledLot> const& lots, SlotsOf const& slotsOf, double meanItemMs);

/// True if a running item may be sent to a worker, or sent again: its route still leads to the service for which it was
/// started, and that has workers. Another service must run the item from its start, as what the former one sent is no
/// part of its output.
bool mayTry(ItemQueue const& items, ItemClaim claim, Route const* route, SlotsOf const& slotsOf);

}  // namespace tealshelf
