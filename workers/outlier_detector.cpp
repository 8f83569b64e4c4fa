#include "workers/outlier_detector.hpp"

#include <cmath>

namespace tealshelf {

namespace {
constexpr double maxPlausibleCount = 1e6;    ///< a tally with a larger count is ignored
constexpr double minReportedFailures = 0.5;  ///< fewer failures aren't reported to other control nodes
constexpr int maxRepetitions = 4;            ///< maximum of doublings of an ejection's duration
constexpr int ejectionMemoryHalfLives = 8;  ///< time without an ejection after which the next lasts one half-life again
}  // namespace

void OutlierDetector::decay(Counts& counts, TimePoint now) const {
  if (counts.at == TimePoint()) {
    counts.at = now;
    return;
  }
  std::chrono::duration<double> const age = now - counts.at;
  double const factor = std::exp2(-age / std::chrono::duration<double>(halfLife_));
  counts.succeeded *= factor;
  counts.failed *= factor;
  counts.at = now;
}

void OutlierDetector::record(vector<WorkerTally> const& tallies, TimePoint now) {
  auto const valid = [](double count) { return count >= 0 && count <= maxPlausibleCount; };
  for (WorkerTally const& tally : tallies) {
    if (!valid(tally.succeeded) || !valid(tally.failed)) continue;
    Counts& counts = own_[tally.worker];
    decay(counts, now);
    counts.succeeded += tally.succeeded;
    counts.failed += tally.failed;
  }
}

void OutlierDetector::receiveReport(NodeId from, vector<WorkerTally> const& tallies, TimePoint now) {
  PeerReport& report = peers_[from];
  report.receivedAt = now;
  report.workers.clear();
  for (WorkerTally const& tally : tallies) report.workers[tally.worker] = Counts{tally.succeeded, tally.failed, now};
}

vector<WorkerTally> OutlierDetector::report(TimePoint now) const {
  vector<WorkerTally> tallies;
  for (auto const& [worker, counts] : own_) {
    Counts decayed = counts;
    decay(decayed, now);
    if (decayed.failed > minReportedFailures) tallies.push_back({worker, decayed.succeeded, decayed.failed});
  }
  return tallies;
}

OutlierDetector::Counts OutlierDetector::totalOf(string const& worker, TimePoint now) {
  Counts total;
  if (auto const own = own_.find(worker); own != own_.end()) {
    decay(own->second, now);
    total = own->second;
  }
  for (auto const& [node, report] : peers_) {
    auto const reported = report.workers.find(worker);
    if (reported == report.workers.end()) continue;
    total.succeeded += reported->second.succeeded;
    total.failed += reported->second.failed;
  }
  return total;
}

bool OutlierDetector::isOutlier(Counts const& worker, Counts const& service) const {
  if (worker.total() < thresholds_.minRequests || worker.failed < thresholds_.minFailures) return false;
  double const othersTotal = service.total() - worker.total();
  double const othersRate = othersTotal > 0 ? (service.failed - worker.failed) / othersTotal : 0;
  double const relative = std::min(thresholds_.certainFailureRate, thresholds_.meanRateMultiple * othersRate);
  return worker.failed / worker.total() >= std::max(thresholds_.minFailureRate, relative);
}

vector<OutlierDetector::EjectionChange> OutlierDetector::evaluate(vector<Worker> const& workers, NodeId self,
                                                                  TimePoint now) {
  std::erase_if(peers_, [&](auto const& peer) { return now - peer.second.receivedAt > halfLife_; });
  std::map<string, ServiceCounts> services;
  std::map<string, Counts> totals;
  for (Worker const& worker : workers) {
    if (worker.removed || worker.lost) continue;
    Counts const total = totalOf(worker.id, now);
    totals[worker.id] = total;
    ServiceCounts& service = services[worker.service];
    service.counts.succeeded += total.succeeded;
    service.counts.failed += total.failed;
    ++service.workers;
    service.ejected += worker.ejected;
  }
  std::erase_if(own_, [&](auto const& item) { return !totals.contains(item.first); });
  std::erase_if(ejections_, [&](auto const& item) { return !totals.contains(item.first); });
  vector<EjectionChange> changes;
  for (Worker const& worker : workers) {
    if (worker.removed || worker.lost || worker.registrar != self) continue;
    Ejection& ejection = ejections_[worker.id];
    if (worker.ejected) {
      if (now < ejection.until) continue;
      // Outcomes from before the ejection no longer count.
      own_.erase(worker.id);
      ejection.endedAt = now;
      changes.push_back({worker.id, false});
      continue;
    }
    ServiceCounts& service = services[worker.service];
    if (!isOutlier(totals[worker.id], service.counts)) continue;
    double const limit = thresholds_.maxEjectedShare * static_cast<double>(service.workers);
    if (static_cast<double>(service.ejected + 1) > limit) continue;
    ++service.ejected;
    bool const again = now - ejection.endedAt < ejectionMemoryHalfLives * halfLife_;
    ejection.repetitions = again ? std::min(ejection.repetitions + 1, maxRepetitions) : 0;
    ejection.until = now + halfLife_ * (1 << ejection.repetitions);
    changes.push_back({worker.id, true});
  }
  return changes;
}

}  // namespace tealshelf
