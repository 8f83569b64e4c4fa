#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// Outlier detection: ejects workers that fail far more requests than others of their service, for a growing time.
///
/// It uses the request outcomes that all nodes saw, not the workers' own health answers. An ejected worker is used only
/// if no other is available. Performs no I/O.
class OutlierDetector {
 public:
  struct Thresholds {
    double minFailureRate = 0.1;       ///< failure rate below which no worker is ejected
    double meanRateMultiple = 3;       ///< multiple of the mean failure rate of the service's other workers
    double certainFailureRate = 0.75;  ///< at this rate a worker is ejected whatever the others' rate
    double minRequests = 6;            ///< minimum of requests seen, decayed
    double minFailures = 2.5;          ///< minimum of failures, so that a chance failure has no effect
    double maxEjectedShare = 1.0 / 3;  ///< largest share of a service's workers ejected at once
  };
  /// A worker whose ejection begins or ends.
  struct EjectionChange {
    string worker;
    bool ejected = false;
  };
  /// Counts decay by half in each `halfLife`. A first ejection lasts one half-life, repeated ones longer.
  OutlierDetector(Ms halfLife, Thresholds thresholds) : halfLife_(halfLife), thresholds_(thresholds) {}

  /// Adds the request outcomes of the nodes subscribed to this control node.
  void record(vector<WorkerTally> const& tallies, TimePoint now);
  /// Takes another control node's report of its subscribers' outcomes; replaces its previous report.
  void receiveReport(NodeId from, vector<WorkerTally> const& tallies, TimePoint now);
  /// The report for the other control nodes: the counts of workers that failed requests recently.
  vector<WorkerTally> report(TimePoint now) const;
  /// Workers whose ejection begins or ends, among those whose registrar is `self`. `workers`: all live workers.
  vector<EjectionChange> evaluate(vector<Worker> const& workers, NodeId self, TimePoint now);

 private:
  struct Counts {
    double succeeded = 0, failed = 0;  ///< decayed numbers of requests
    TimePoint at;                      ///< of the last decay
    double total() const { return succeeded + failed; }
  };
  /// The last report of another control node.
  struct PeerReport {
    std::map<string, Counts> workers;
    TimePoint receivedAt;
  };
  /// Totals over the workers of one service.
  struct ServiceCounts {
    Counts counts;
    std::size_t workers = 0, ejected = 0;
  };
  struct Ejection {
    int repetitions = 0;  ///< consecutive ejections before this one
    TimePoint until, endedAt;
  };
  void decay(Counts& counts, TimePoint now) const;
  /// Outcomes of a worker's requests over all nodes.
  Counts totalOf(string const& worker, TimePoint now);
  /// True if a worker's failure rate is far above that of the others of its service and significant.
  bool isOutlier(Counts const& worker, Counts const& service) const;
  Ms halfLife_;
  Thresholds thresholds_;
  std::map<string, Counts> own_;
  std::map<NodeId, PeerReport> peers_;
  std::map<string, Ejection> ejections_;
};

}  // namespace tealshelf
