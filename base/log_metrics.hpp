#pragma once
#include "base/metrics.hpp"

namespace tealshelf {

/// What a DurableLog tells about itself, under the name of its directory.
struct LogMetrics {
  explicit LogMetrics(string const& directory);

  Gauge stateBytes, logBytes, budgetBytes, overBudget, diskState, syncSeconds;
  Counter snapshots, failures;

 private:
  explicit LogMetrics(MetricLabels const& labels);
};

}  // namespace tealshelf
