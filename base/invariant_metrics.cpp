#include "base/invariant_metrics.hpp"

namespace tealshelf {

InvariantMetrics::InvariantMetrics() {
  for (std::size_t index = 0; index < static_cast<std::size_t>(Invariant::count); ++index) {
    MetricLabels const labels{{"invariant", string(nameOf(static_cast<Invariant>(index)))}};
    violations_.push_back(
        metrics().gauge("tealshelf_invariant_violations", "Violations of an invariant in this process.", labels));
  }
  sampler_ = metrics().sample([this] {
    for (std::size_t index = 0; index < violations_.size(); ++index)
      violations_[index].setCount(violationsOf(static_cast<Invariant>(index)));
  });
}

}  // namespace tealshelf
