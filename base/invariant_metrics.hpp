#pragma once
#include "base/invariant.hpp"
#include "base/metrics.hpp"

namespace tealshelf {

/// Tells how often each invariant was violated in this process.
class InvariantMetrics {
 public:
  InvariantMetrics();

 private:
  vector<Gauge> violations_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
