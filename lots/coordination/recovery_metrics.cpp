#include "lots/coordination/recovery_metrics.hpp"

namespace tealshelf {

RecoveryMetrics::RecoveryMetrics() {
  for (std::size_t kind = 0; kind < needCount; ++kind) {
    MetricLabels const labels{{"need", string(nameOf(static_cast<RecoveryNeed>(kind)))}};
    lots_.push_back(metrics().gauge("tealshelf_lots_waiting", "Lots that wait for a recovery.", labels));
    longestWait_.push_back(metrics().gauge("tealshelf_lots_longest_wait_seconds",
                                           "How long the lot that waits longest has waited.", labels));
  }
}

void RecoveryMetrics::beginCount() {
  waiting_.fill(WaitingLots{});
}

void RecoveryMetrics::count(RecoveryNeed need, Ms waited) {
  if (need == RecoveryNeed::none) return;
  WaitingLots& waiting = waiting_.at(static_cast<std::size_t>(need));
  ++waiting.lots;
  waiting.longest = std::max(waiting.longest, waited);
}

void RecoveryMetrics::endCount() {
  for (std::size_t kind = 0; kind < needCount; ++kind) {
    lots_[kind].setCount(waiting_[kind].lots);
    longestWait_[kind].set(std::chrono::duration<double>(waiting_[kind].longest).count());
  }
}

void RecoveryMetrics::recordOutcome(RecoveryNeed need, RecoveryOutcome outcome) {
  metrics()
      .counter("tealshelf_lot_recoveries_total", "Tries to recover, seal or replicate a lot.",
               {{"need", string(nameOf(need))}, {"outcome", string(nameOf(outcome))}})
      .increment();
}

}  // namespace tealshelf
