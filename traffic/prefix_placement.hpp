#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// How a request whose prompt begins with a long shared prefix was placed. Workers can't hand cached prefixes to each
/// other on today's wire, so carrying means sending the request to the site whose worker keeps the prefix, and
/// computing means that another worker reads the prefix again.
enum class PrefixChoice {
  cachedLocal,      ///< at the worker that should keep it, in this node's zone
  cachedRemote,     ///< at the worker that should keep it, in another zone
  recomputedLocal,  ///< at another worker of this node's zone
  recomputedRemote  ///< at another worker of another zone
};

/// Why the worker that should keep the prefix wasn't taken.
enum class PrefixReason {
  none,    ///< it was taken
  unfit,   ///< it was tried before, failed, refused or is ejected
  loaded,  ///< waiting there was foretold to cost more than reading the prefix again
};

constexpr std::size_t prefixChoices = 4;
string_view nameOf(PrefixChoice choice);
string_view nameOf(PrefixReason reason);

struct PrefixPlacement {
  std::uint64_t prefixKey = 0;
  std::uint64_t sharedTokens = 0;
  PrefixChoice choice = PrefixChoice::cachedLocal;
  PrefixReason reason = PrefixReason::none;
  string worker, workerZone;
  string preferredWorker, preferredZone;  ///< the worker that should keep the prefix
  /// What the balancer foretold, in loads (1: all slots of a worker taken): at the keeper, and where it was placed.
  double preferredCost = 0, chosenCost = 0;
};

}  // namespace tealshelf
