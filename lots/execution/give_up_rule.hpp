#pragma once
#include "lots/execution/lot_route.hpp"

namespace tealshelf {

/// Why the queued items of a lot may be given up.
enum class GiveUpReason : char {
  none,          ///< they may not
  routeRemoved,  ///< the configuration has removed their route
  timeOver       ///< the lot is older than its items are kept for
};

/// Decides whether the items of a lot that aren't done may be given up. It doesn't depend on the workers: a lot without
/// any ends like others.
///
/// `age` is a lower bound. Records of older releases don't tell the version of the configuration that had the route, so
/// this node's may be older: a route that is missing counts as removed only from the age `applyWithin` on.
GiveUpReason giveUpReason(LotRecord const& lot, LotRoute const& found, Ms age, Ms applyWithin);
/// Text for logs.
string_view textOf(GiveUpReason reason);

}  // namespace tealshelf
