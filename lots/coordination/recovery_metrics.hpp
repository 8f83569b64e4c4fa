#pragma once
#include "base/metrics.hpp"
#include "lots/coordination/recovery_need.hpp"

namespace tealshelf {

/// How many lots wait for a recovery, by what it is needed for, and how long the longest of them has waited.
class RecoveryMetrics {
 public:
  RecoveryMetrics();
  /// Begins a count of the lots of one keyspace.
  void beginCount();
  void count(RecoveryNeed need, Ms waited);
  void endCount();
  void recordOutcome(RecoveryNeed need, RecoveryOutcome outcome);

 private:
  struct WaitingLots {
    std::size_t lots = 0;
    Ms longest{0};
  };
  static constexpr std::size_t needCount = static_cast<std::size_t>(RecoveryNeed::none);
  std::array<WaitingLots, needCount> waiting_;
  vector<Gauge> lots_, longestWait_;
};

}  // namespace tealshelf
