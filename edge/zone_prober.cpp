#include "edge/zone_prober.hpp"

#include "traffic/connection_probe.hpp"

namespace tealshelf {

namespace {
/// Parts of inTouch: time between two rounds, timeout of a probe, and time for which a reached zone isn't probed again.
constexpr int zoneProbePeriodDivisor = 16, zoneProbeTimeoutDivisor = 40, zoneReprobeDivisor = 4;
}  // namespace

void ZoneProber::start() {
  spawnTask(io_, "zone prober", probeLoop());
}

Task<void> ZoneProber::probeLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / zoneProbePeriodDivisor);
    if (!view_.configuration() || view_.isFresh()) continue;
    for (Worker const& worker : candidates()) spawnTask(io_, "zone probe", probe(worker));
  }
}

vector<Worker> ZoneProber::candidates() {
  TimePoint const now = Clock::now();
  std::map<string, vector<Worker const*>> zones;
  for (auto const& [id, worker] : view_.workers()) {
    auto const reached = reachedAt_.find(worker.zone);
    bool const wasReachedRecently =
        reached != reachedAt_.end() && now - reached->second < settings_.bounds.inTouch / zoneReprobeDivisor;
    bool const isKnown = wasReachedRecently || balancer_.isZoneUnreachable(worker.zone);
    if (worker.zone != settings_.zone && !isKnown) zones[worker.zone].push_back(&worker);
  }
  ++roundRobin_;
  vector<Worker> chosen;
  for (auto const& [zone, workers] : zones) chosen.push_back(*workers[roundRobin_ % workers.size()]);
  return chosen;
}

Task<void> ZoneProber::probe(Worker worker) {
  bool const reached =
      co_await respondsToConnect(io_, worker.address, settings_.bounds.inTouch / zoneProbeTimeoutDivisor);
  if (!reached) {
    balancer_.noteUnreached(worker);
    co_return;
  }
  reachedAt_[worker.zone] = Clock::now();
  balancer_.noteReached(worker);
}

}  // namespace tealshelf
