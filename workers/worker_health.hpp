#pragma once
#include "wire/messages.hpp"

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
  /// Tallies halve in a span; a first rest lasts a span, the next ones longer.
  WorkerHealth(Ms span, Rule rule) : span_(span), rule_(rule) {}
  /// How requests went at nodes that ask here.
  void note(vector<WorkerTally> const& l, Moment now);
  /// What another control node says of its askers; the last word counts.
  void heard(Identity from, vector<WorkerTally> const& l, Moment now);
  /// What is told to the others: the tallies of workers that failed something lately.
  vector<WorkerTally> report(Moment now) const;
  /// Workers whose rest begins or ends, among those whose beats this node hears. All live ones are given.
  vector<std::pair<string, bool>> judge(vector<Worker> const& all, Identity self, Moment now);

 private:
  struct Sum {
    double ok = 0, bad = 0;
    Moment at;
  };
  struct Rest {
    int turns = 0;
    Moment until, ended;
  };
  void fade(Sum& s, Moment now) const;
  Ms span_;
  Rule rule_;
  std::map<string, Sum> own_;
  std::map<Identity, std::pair<std::map<string, Sum>, Moment>> others_;
  std::map<string, Rest> rests_;
};

}  // namespace tealshelf
