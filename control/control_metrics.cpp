#include "control/control_metrics.hpp"

namespace tealshelf {

namespace {
Gauge lotsIn(string const& state) {
  return metrics().gauge("tealshelf_control_lots", "Lots in the keyspaces owned here, by state.", {{"state", state}});
}
}  // namespace

ControlMetrics::ControlMetrics()
    : members_(metrics().gauge("tealshelf_control_members", "Members of the control plane, as known here.")),
      hasMajority_(metrics().gauge("tealshelf_control_has_majority", "1 while a majority is heard.")),
      keyspacesOwned_(metrics().gauge("tealshelf_control_keyspaces_owned", "Keyspaces that this node owns.")),
      recoveries_(metrics().gauge("tealshelf_control_recoveries", "Recoveries of lots that are under way.")),
      trackedLots_(metrics().gauge("tealshelf_control_tracked_lots",
                                   "Lots that this node keeps state of in memory beside their records.")),
      keyspaces_(metrics().gauge("tealshelf_control_keyspaces", "Keyspaces that this node has, idle ones included.")),
      lotsOpening_(lotsIn("opening")),
      lotsAccepted_(lotsIn("accepted")),
      lotsEnded_(lotsIn("ended")),
      lotsBelowCopies_(metrics().gauge("tealshelf_control_lots_below_copies",
                                       "Lots recorded with fewer holders than the losses to survive need.")) {}

void ControlMetrics::LotCounts::add(LotRecord const& lot, std::size_t neededCopies) {
  if (lot.state == LotState::opening) {
    ++opening;
    return;
  }
  ++(lot.state == LotState::accepted ? accepted : ended);
  if (lot.holders.size() < neededCopies) ++belowCopies;
}

void ControlMetrics::sample(ConsensusDriver const& driver, LotCoordinator const& lots, std::size_t neededCopies) {
  Consensus const& consensus = driver.consensus();
  std::size_t owned = 0;
  LotCounts counts;
  for (string const& keyspace : consensus.keyspaces()) {
    if (!consensus.owns(keyspace)) continue;
    ++owned;
    if (!LotCoordinator::isLotKeyspace(keyspace)) continue;
    for (auto const& [id, record] : consensus.committedValues(keyspace))
      counts.add(deserialize<LotRecord>(record), neededCopies);
  }
  members_.setCount(consensus.membership().members.size());
  hasMajority_.setCount(driver.inContactWithMajority());
  keyspacesOwned_.setCount(owned);
  recoveries_.setCount(lots.activeRecoveries());
  trackedLots_.setCount(lots.trackedLots());
  keyspaces_.setCount(consensus.keyspaces().size());
  show(counts);
}

void ControlMetrics::show(LotCounts const& counts) {
  lotsOpening_.setCount(counts.opening);
  lotsAccepted_.setCount(counts.accepted);
  lotsEnded_.setCount(counts.ended);
  lotsBelowCopies_.setCount(counts.belowCopies);
}

}  // namespace tealshelf
