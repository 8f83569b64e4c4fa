#pragma once
#include "configuration/configuration.hpp"
#include "segments/messages.hpp"

namespace tealshelf {

/// Where the route of a lot stands in a configuration.
struct LotRoute {
  Route const* route = nullptr;  ///< points into the configuration; null if it has no such route
  bool isRemoved = false;        ///< the configuration is known to have removed the route
  /// True if a later configuration may still have the route, or the record doesn't tell which one it is.
  bool isUnknown() const { return !route && !isRemoved; }
};

/// Finds the route that a lot was submitted to, by host and prefix; its name may change, or be that of other routes.
///
/// A node may have an older configuration than the edge node that took the lot: that of a version below the record's
/// doesn't tell whether the route was removed.
///
/// Records of older releases tell a host and a name only. For these the route is the bulk route of that host and name;
/// of several such routes it is the one whose prefix is the longest that begins the path of the lot's first item. If
/// there is none, the route counts as removed only if the host has no bulk route at all.
LotRoute findLotRoute(LotRecord const& lot, string_view firstItemPath, Configuration const& configuration);

}  // namespace tealshelf
