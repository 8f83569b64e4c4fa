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
  void note(vector<WorkerTally> const& tallies, Moment now);
  /// What another control node says of its askers; the last word counts.
  void heard(Identity from, vector<WorkerTally> const& tallies, Moment now);
  /// What is told to the others: the tallies of workers that failed something lately.
  vector<WorkerTally> report(Moment now) const;
  /// Workers whose rest begins or ends, among those whose beats this node hears. All live ones are given.
  vector<RestChange> judge(vector<Worker> const& workers, Identity self, Moment now);

 private:
  struct Tally {
    double ok = 0, bad = 0;  ///< requests that went well and that failed, decayed
    Moment at;
    double total() const { return ok + bad; }
  };
  /// The last word of another control node.
  struct PeerReport {
    std::map<string, Tally> tallies;
    Moment at;
  };
  /// What the workers of one service add up to.
  struct ServiceTotal {
    Tally tally;
    std::size_t workers = 0, resting = 0;
  };
  struct Rest {
    int turns = 0;
    Moment until, ended;
  };
  void fade(Tally& tally, Moment now) const;
  /// What all nodes together saw of a worker.
  Tally totalOf(string const& worker, Moment now);
  bool failsTooMuch(Tally const& tally, Tally const& service) const;
  Ms span_;
  Rule rule_;
  std::map<string, Tally> own_;
  std::map<Identity, PeerReport> peers_;
  std::map<string, Rest> rests_;
};

}  // namespace tealshelf
