#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// Finds workers that fail far more requests than others of their service, and ejects them for a growing time.
///
/// Goes by how requests went at all nodes, not by the workers' own health answers. An ejected worker is used only where
/// no other can be. No input or output of its own.
class OutlierDetector {
 public:
  struct Thresholds {
    double minFailureRate = 0.1;       ///< share of failed requests below which nobody is ejected
    double meanRateMultiple = 3;       ///< so many times the mean failure rate of the service
    double certainFailureRate = 0.75;  ///< from this rate on a worker is ejected however the others are
    double minRequests = 6;            ///< so many requests must have been seen, decayed
    double minFailures = 2.5;          ///< and so many failures, so that one by chance proves nothing
    double maxEjectedShare = 1.0 / 3;  ///< of a service's workers at once
  };
  /// A worker whose ejection begins or ends.
  struct EjectionChange {
    string worker;
    bool ejected = false;
  };
  /// Counts halve in `halfLife`. A first ejection lasts as long, the next ones longer.
  OutlierDetector(Ms halfLife, Thresholds thresholds) : halfLife_(halfLife), thresholds_(thresholds) {}

  /// Adds how requests went at nodes that ask here.
  void record(vector<WorkerTally> const& tallies, TimePoint now);
  /// Takes what another control node says of its subscribers; replaces what it said before.
  void receiveReport(NodeId from, vector<WorkerTally> const& tallies, TimePoint now);
  /// What the other control nodes are told: the counts of workers that failed something lately.
  vector<WorkerTally> report(TimePoint now) const;
  /// Workers whose ejection begins or ends, among those whose registrar is `self`. All live workers are given.
  vector<EjectionChange> evaluate(vector<Worker> const& workers, NodeId self, TimePoint now);

 private:
  struct Counts {
    double succeeded = 0, failed = 0;  ///< requests, decayed
    TimePoint at;                      ///< of the last decay
    double total() const { return succeeded + failed; }
  };
  /// The last report of another control node.
  struct PeerReport {
    std::map<string, Counts> workers;
    TimePoint receivedAt;
  };
  /// What the workers of one service add up to.
  struct ServiceCounts {
    Counts counts;
    std::size_t workers = 0, ejected = 0;
  };
  struct Ejection {
    int repetitions = 0;  ///< ejections in a row before it
    TimePoint until, endedAt;
  };
  void decay(Counts& counts, TimePoint now) const;
  /// What all nodes together saw of a worker.
  Counts totalOf(string const& worker, TimePoint now);
  /// True if a worker failed more than the others of its service, and enough to tell.
  bool isOutlier(Counts const& worker, Counts const& service) const;
  Ms halfLife_;
  Thresholds thresholds_;
  std::map<string, Counts> own_;
  std::map<NodeId, PeerReport> peers_;
  std::map<string, Ejection> ejections_;
};

}  // namespace tealshelf
