#pragma once
#include "base/metrics.hpp"
#include "lots/coordination/recovery_need.hpp"

namespace tealshelf {

/// Metrics of lots that wait for a recovery: their number and the longest wait for each need, and outcomes of attempts.
class RecoveryMetrics {
 public:
  RecoveryMetrics();
  /// Begins a count of the lots in all owned keyspaces; endCount() publishes it.
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
