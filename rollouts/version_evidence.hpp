#pragma once
#include "rollouts/rollout_record.hpp"

/// Outcomes of requests at the old and the new version of a service during a rollout.
namespace tealshelf {

/// Sums of the logarithms of latencies, for their mean and its variance.
struct LogLatencyStats {
  std::uint64_t count = 0;
  double sum = 0, squares = 0;
  void add(double milliseconds);
  void add(LogLatencyStats const& other);
  double mean() const { return count ? sum / static_cast<double>(count) : 0; }
  double varianceOfMean() const;
  MSGPACK_DEFINE(count, sum, squares)
};

/// Counts for one route and one version of a service since a rollout began.
struct VersionTally {
  std::uint64_t order = 0;  ///< id of the rollout, see RolloutRecord
  string service;
  string route;  ///< Route::id()
  bool isTarget = false;
  std::uint64_t sent = 0;       ///< requests sent to a worker
  std::uint64_t succeeded = 0;  ///< complete responses that report no failure
  std::uint64_t failed = 0;     ///< responses in which the worker itself reports a failure
  LogLatencyStats latency;      ///< of a complete response, or between the events of a stream
  void add(VersionTally const& other);
  /// Subtracts earlier counts; returns false and changes nothing if one of them is higher than the present one.
  bool subtract(VersionTally const& earlier);
  MSGPACK_DEFINE(order, service, route, isTarget, sent, succeeded, failed, latency)
};

/// The tally of one request that was sent to a worker.
VersionTally sentTally();
/// The tally of one response, with its latency if that is known.
VersionTally outcomeTally(bool succeeded, std::optional<double> latencyMs);

/// Tallies summed by rollout, route and version.
class VersionEvidence {
 public:
  void add(VersionTally const& tally);
  void add(vector<VersionTally> const& tallies);
  vector<VersionTally> all() const;
  /// Returns all tallies and clears them.
  vector<VersionTally> take();
  /// Discards the tallies of all other rollouts.
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

/// The increase of tallies since an earlier snapshot. A tally that decreased, as its node was restarted, counts whole.
vector<VersionTally> talliesSince(vector<VersionTally> const& earlier, vector<VersionTally> const& present);

/// What the evidence says about the target version.
enum class VersionVerdict { undecided, bad };

struct VersionJudgement {
  VersionVerdict verdict = VersionVerdict::undecided;
  string reason;
  double sentToTarget = 0, sentTotal = 0;
};

/// Compares the target version with the old one on the same routes.
///
/// A version is bad if the lower confidence bound of its failure rate exceeds the failure rate seen at the old one, or
/// if its responses take longer, by the difference of the mean logarithms. Both bounds are wide (a false positive in
/// about 1 of 200 and 1 of 700 evaluations), as the evidence is evaluated again and again. Requests that got no
/// response because a worker ended or was partitioned count for neither version: that is no fault of a version.
VersionJudgement judgeVersion(RolloutRecord const& record, vector<VersionTally> const& tallies);

}  // namespace tealshelf
