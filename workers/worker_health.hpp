#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// Judges workers by how requests went at all nodes, not by their own health answers: one that
/// fails far more of them than its like rests for a growing time. No input or output of its own.
class WorkerHealth {
 public:
  /// Ratios of the judgement.
  struct Rule {
    double least = 0.1;     ///< share of failed requests below which nobody rests
    double times = 3;       ///< so many times the mean share of the service
    double sure = 0.75;     ///< from this share on it is ill however the others are
    double enough = 6;      ///< so many requests must have been seen, decayed
    double failed = 2.5;    ///< and so many failures, so that one by chance proves nothing
    double most = 1.0 / 3;  ///< no larger part of a service's workers rests at once
  };
  /// A worker whose rest begins or ends.
  struct RestChange {
    string worker;
    bool resting = false;
  };
  /// Tallies halve in a span; a first rest lasts a span, the next ones longer.
  WorkerHealth(Ms span, Rule rule) : span_(span), rule_(rule) {}
  /// How requests went at nodes that ask here.
  void note(vector<WorkerTally> const& tallies, TimePoint now);
  /// What another control node says of its askers; the last word counts.
  void heard(NodeId from, vector<WorkerTally> const& tallies, TimePoint now);
  /// What is told to the others: the tallies of workers that failed something lately.
  vector<WorkerTally> report(TimePoint now) const;
  /// Workers whose rest begins or ends, among those whose beats this node hears. All live ones are given.
  vector<RestChange> judge(vector<Worker> const& workers, NodeId self, TimePoint now);

 private:
  struct Tally {
    double ok = 0, bad = 0;  ///< requests that went well and that failed, decayed
    TimePoint at;
    double total() const { return ok + bad; }
  };
  /// The last word of another control node.
  struct PeerReport {
    std::map<string, Tally> tallies;
    TimePoint at;
  };
  /// What the workers of one service add up to.
  struct ServiceTotal {
    Tally tally;
    std::size_t workers = 0, resting = 0;
  };
  struct Rest {
    int turns = 0;
    TimePoint until, ended;
  };
  void fade(Tally& tally, TimePoint now) const;
  /// What all nodes together saw of a worker.
  Tally totalOf(string const& worker, TimePoint now);
  bool failsTooMuch(Tally const& tally, Tally const& service) const;
  Ms span_;
  Rule rule_;
  std::map<string, Tally> own_;
  std::map<NodeId, PeerReport> peers_;
  std::map<string, Rest> rests_;
};

}  // namespace tealshelf
