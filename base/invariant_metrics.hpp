#pragma once
#include "base/invariant.hpp"
#include "base/metrics.hpp"

namespace tealshelf {

/// Exports the number of violations of each invariant in this process.
class InvariantMetrics {
 public:
  InvariantMetrics();

 private:
  vector<Gauge> violations_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
