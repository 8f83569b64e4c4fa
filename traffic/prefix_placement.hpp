#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Where a request whose prompt begins with a long shared prefix was sent: to the preferred worker, which should have
/// the prefix cached, or to another one, which computes it again. Workers can't transfer cached prefixes to each other.
enum class PrefixChoice {
  cachedLocal,      ///< preferred worker, in this node's zone
  cachedRemote,     ///< preferred worker, in another zone
  recomputedLocal,  ///< another worker, in this node's zone
  recomputedRemote  ///< another worker, in another zone
};

/// Why the preferred worker wasn't chosen.
enum class PrefixReason {
  none,    ///< it was chosen
  unfit,   ///< it was tried before, is avoided or is ejected
  loaded,  ///< its estimated cost exceeded that of computing the prefix again
};

constexpr std::size_t prefixChoices = 4;
string_view nameOf(PrefixChoice choice);
string_view nameOf(PrefixReason reason);

/// One placement of a request with a long shared prefix.
struct PrefixPlacement {
  std::uint64_t prefixKey = 0;
  std::uint64_t sharedTokens = 0;
  PrefixChoice choice = PrefixChoice::cachedLocal;
  PrefixReason reason = PrefixReason::none;
  string worker, workerZone;
  string preferredWorker, preferredZone;  ///< the worker that should have the prefix cached
  /// Estimated costs at the preferred and the chosen worker, in units of load (1: all slots of a worker in use).
  double preferredCost = 0, chosenCost = 0;
};

}  // namespace tealshelf
