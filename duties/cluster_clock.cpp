#include "duties/cluster_clock.hpp"

namespace tealshelf {

namespace {
std::int64_t steadyMs(TimePoint moment) {
  return std::chrono::duration_cast<Ms>(moment.time_since_epoch()).count();
}
}  // namespace

void MedianClock::noteReading(NodeId node, std::int64_t wallMs, TimePoint now) {
  readings_[node] = Reading{wallMs - steadyMs(now), now};
}

std::optional<std::int64_t> MedianClock::nowMs(TimePoint now) const {
  vector<std::int64_t> offsets;
  for (auto const& [node, reading] : readings_)
    if (now - reading.at <= expiry_) offsets.push_back(reading.offsetMs);
  if (offsets.empty()) return std::nullopt;
  std::sort(offsets.begin(), offsets.end());
  std::size_t const middle = offsets.size() / 2;
  std::int64_t const lower = offsets[offsets.size() % 2 ? middle : middle - 1];
  return steadyMs(now) + lower + (offsets[middle] - lower) / 2;
}

void FollowerClock::noteAnswer(std::int64_t clusterTimeMs, TimePoint askedAt, TimePoint now) {
  Ms const roundTrip = std::chrono::duration_cast<Ms>(now - askedAt);
  if (roundTrip > maxRoundTrip_) return;
  offsetMs_ = clusterTimeMs + roundTrip.count() / 2 - steadyMs(now);
}

std::int64_t FollowerClock::at(TimePoint moment) const {
  if (offsetMs_) return steadyMs(moment) + *offsetMs_;
  TimePoint const now = Clock::now();
  return wallClockMs() - std::chrono::duration_cast<Ms>(now - moment).count();
}

}  // namespace tealshelf
