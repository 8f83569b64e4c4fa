#pragma once
#include "base/metrics.hpp"
#include "consensus/consensus_driver.hpp"
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

/// Metrics of a control node. Lots are counted only by the owners of their keyspaces, so that the sum over the nodes
/// counts each once.
class ControlMetrics {
 public:
  ControlMetrics();
  void sample(ConsensusDriver const& driver, LotCoordinator const& lots, std::size_t neededCopies);

 private:
  struct LotCounts {
    std::size_t opening = 0, accepted = 0, ended = 0;
    std::size_t belowCopies = 0;  ///< accepted or ended, and recorded with fewer holders than needed
    void add(LotRecord const& lot, std::size_t neededCopies);
  };
  void show(LotCounts const& counts);

  Gauge members_, hasMajority_, keyspacesOwned_, recoveries_, trackedLots_, keyspaces_;
  Gauge lotsOpening_, lotsAccepted_, lotsEnded_, lotsBelowCopies_;
};

}  // namespace tealshelf
