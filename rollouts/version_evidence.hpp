#pragma once
#include "rollouts/rollout_record.hpp"

/// How requests went at the old and the new version of a service.
namespace tealshelf {

/// Logarithms of a time, added up.
struct LogLatencyStats {
  std::uint64_t count = 0;
  double sum = 0, squares = 0;
  void add(double milliseconds);
  void add(LogLatencyStats const& other);
  double mean() const { return count ? sum / static_cast<double>(count) : 0; }
  /// Variance of the mean.
  double varianceOfMean() const;
  MSGPACK_DEFINE(count, sum, squares)
};

/// Of one route and one version of a service, since a rollout began.
struct VersionTally {
  std::uint64_t order = 0;  ///< of the rollout
  string service, route;
  bool isTarget = false;
  std::uint64_t sent = 0;       ///< requests that went to a worker
  std::uint64_t succeeded = 0;  ///< answers that were whole and no failure
  std::uint64_t failed = 0;     ///< answers by which the worker itself says that it failed
  LogLatencyStats latency;      ///< of a whole answer, or between the events of a stream
  void add(VersionTally const& other);
  /// Takes away what was counted earlier; false, and nothing is changed, if that was more.
  bool subtract(VersionTally const& earlier);
  MSGPACK_DEFINE(order, service, route, isTarget, sent, succeeded, failed, latency)
};

/// Of one request that went to a worker.
VersionTally sentTally();
/// Of one answer, with its latency if that can be told.
VersionTally outcomeTally(bool succeeded, std::optional<double> latencyMs);

/// Tallies by rollout, route and version.
class VersionEvidence {
 public:
  void add(VersionTally const& tally);
  void add(vector<VersionTally> const& tallies);
  vector<VersionTally> all() const;
  vector<VersionTally> take();
  /// Keeps those of some rollouts only.
  void retain(std::set<std::uint64_t> const& orders);

 private:
  struct Key {
    std::uint64_t order;
    string route;
    bool isTarget;
    auto operator<=>(Key const&) const = default;
  };
  std::map<Key, VersionTally> tallies_;
};

/// What came to tallies since an earlier state of them; those that became smaller, as a node was started again, count
/// from there on.
vector<VersionTally> talliesSince(vector<VersionTally> const& earlier, vector<VersionTally> const& present);

/// What the evidence says of a version.
enum class VersionVerdict { undecided, bad };

struct VersionJudgement {
  VersionVerdict verdict = VersionVerdict::undecided;
  string reason;
  double sentToTarget = 0, sentTotal = 0;
};

/// Compares the target version with the old one on the same routes.
///
/// Bad is a version whose share of failed answers is higher, by a lower confidence bound of its own share against what
/// was seen of the old one; or whose answers take several times as long, by the difference of the mean logarithms. Both
/// bounds are wide (about 1 in 200 and 1 in 700 for one look), as the evidence is looked at again and again. What
/// workers that ended or were cut off left unanswered counts for neither version: that is no fault of a version.
VersionJudgement judgeVersion(RolloutRecord const& record, vector<VersionTally> const& tallies);

}  // namespace tealshelf
