#include "base/log_metrics.hpp"

namespace tealshelf {

namespace {
MetricLabels labelsOf(string const& directory) {
  return {{"log", directory.substr(directory.rfind('/') + 1)}};
}
}  // namespace

LogMetrics::LogMetrics(string const& directory) : LogMetrics(labelsOf(directory)) {}

LogMetrics::LogMetrics(MetricLabels const& labels)
    : stateBytes(metrics().gauge("tealshelf_log_state_bytes", "Size of the state at the last snapshot.", labels)),
      logBytes(metrics().gauge("tealshelf_log_file_bytes", "Size of the records after the last snapshot.", labels)),
      budgetBytes(metrics().gauge("tealshelf_log_budget_bytes", "What all files of the log may take.", labels)),
      overBudget(metrics().gauge("tealshelf_log_over_budget", "1 while the state outgrows its part.", labels)),
      diskState(metrics().gauge("tealshelf_log_disk_state", "0 healthy, 1 failing, 2 stalled.", labels)),
      syncSeconds(metrics().gauge("tealshelf_log_last_sync_seconds", "How long the last write took.", labels)),
      snapshots(metrics().counter("tealshelf_log_snapshots_total", "Snapshots that were begun.", labels)),
      failures(metrics().counter("tealshelf_log_failures_total", "Writes that the disk refused.", labels)) {}

}  // namespace tealshelf
