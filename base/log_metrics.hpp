#pragma once
#include "base/metrics.hpp"

namespace tealshelf {

/// Metrics of a DurableLog, labelled with the name of its directory.
struct LogMetrics {
  explicit LogMetrics(string const& directory);

  Gauge stateBytes, logBytes, budgetBytes, overBudget, diskState, syncSeconds;
  Counter snapshots, failures;

 private:
  explicit LogMetrics(MetricLabels const& labels);
};

}  // namespace tealshelf
