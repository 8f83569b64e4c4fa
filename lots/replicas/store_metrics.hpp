#pragma once
#include "base/metrics.hpp"
#include "segments/replica_table.hpp"

namespace tealshelf {

/// Metrics of a store's replicas and lease.
class StoreMetrics {
 public:
  StoreMetrics();
  void sample(ReplicaTable const& replicas, std::size_t unusable, bool hasLease);

 private:
  Gauge replicas_, damaged_, replicaBytes_, unusable_, hasLease_;
};

}  // namespace tealshelf
