#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Tells which zones this node seems to be cut off from, by whether their workers accept connections; no input or
/// output of its own.
///
/// A circuit breaker a zone: it opens once connections to two workers of the zone stayed without an answer of any kind
/// and nothing came from the zone since. From time to time its workers are tried again, with a growing pause; anything
/// that comes from one of them closes it. A worker that refuses a connection can be reached.
class ZoneReachability {
 public:
  /// The pause before the zone is tried again grows from `shortestPause` to `longestPause`.
  ZoneReachability(Ms shortestPause, Ms longestPause) : shortestPause_(shortestPause), longestPause_(longestPause) {}

  /// Something came from a worker of a zone.
  void noteAnswer(string const& zone) { zones_.erase(zone); }
  /// A connection to a worker of a zone stayed without an answer.
  void noteSilence(string const& zone, string const& worker, TimePoint now);
  /// True while the zone's workers are taken only where there are no others.
  bool isAvoided(string const& zone, TimePoint now) const;
  /// True from when it was first avoided until something came from it.
  bool isSilent(string const& zone) const;
  /// False in nearly every moment, so that there is nothing to look up.
  bool hasSilent() const { return !zones_.empty(); }

 private:
  struct SilentZone {
    std::set<string> workers;  ///< that gave no answer since something came from the zone
    Ms pause{0};
    TimePoint avoidedUntil;
  };
  Ms shortestPause_, longestPause_;
  std::map<string, SilentZone> zones_;
};

}  // namespace tealshelf
