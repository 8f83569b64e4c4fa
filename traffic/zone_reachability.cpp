#include "traffic/zone_reachability.hpp"

namespace tealshelf {

namespace {
/// Number of silent workers that makes their zone count as unreachable.
constexpr std::size_t silentWorkers = 2;
}  // namespace

void ZoneReachability::noteSilence(string const& zone, string const& worker, TimePoint now) {
  SilentZone& silent = zones_[zone];
  silent.workers.insert(worker);
  // Of several attempts made at the same time, only the first extends the pause.
  if (silent.workers.size() < silentWorkers || now < silent.avoidedUntil) return;
  silent.pause = silent.pause == Ms(0) ? shortestPause_ : std::min(2 * silent.pause, longestPause_);
  silent.avoidedUntil = now + silent.pause;
}

bool ZoneReachability::isAvoided(string const& zone, TimePoint now) const {
  auto const silent = zones_.find(zone);
  return silent != zones_.end() && now < silent->second.avoidedUntil;
}

bool ZoneReachability::isSilent(string const& zone) const {
  auto const silent = zones_.find(zone);
  return silent != zones_.end() && silent->second.workers.size() >= silentWorkers;
}

}  // namespace tealshelf
