#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// A circuit breaker for each zone, opened by workers that don't respond to connection attempts. Performs no I/O.
///
/// It opens once connections to two workers of the zone got no response and no worker of the zone has responded since.
/// Requests try the zone again after growing pauses; any response of one of its workers closes the circuit breaker. A
/// refused connection is a response.
class ZoneReachability {
 public:
  /// The pause before the zone is tried again grows from `shortestPause` to `longestPause`.
  ZoneReachability(Ms shortestPause, Ms longestPause) : shortestPause_(shortestPause), longestPause_(longestPause) {}

  /// A worker of a zone responded.
  void noteAnswer(string const& zone) { zones_.erase(zone); }
  /// A connection attempt to a worker of a zone got no response.
  void noteSilence(string const& zone, string const& worker, TimePoint now);
  /// True while the zone's workers are used only as a last resort.
  bool isAvoided(string const& zone, TimePoint now) const;
  /// True from when the zone was first avoided until one of its workers responds.
  bool isSilent(string const& zone) const;
  /// A fast check: false almost always, and then no zone is silent.
  bool hasSilent() const { return !zones_.empty(); }

 private:
  struct SilentZone {
    std::set<string> workers;  ///< that failed to respond since the zone's last response
    Ms pause{0};
    TimePoint avoidedUntil;
  };
  Ms shortestPause_, longestPause_;
  std::map<string, SilentZone> zones_;
};

}  // namespace tealshelf
