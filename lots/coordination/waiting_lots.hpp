#pragma once
#include "lots/coordination/recovery_need.hpp"

namespace tealshelf {

/// A lot whose recovery has failed so far.
struct WaitingLot {
  string lot, host;
  RecoveryNeed need = RecoveryNeed::none;
  RecoveryOutcome outcome = RecoveryOutcome::none;  ///< of the last attempt
  std::size_t attempts = 0;
  Ms waited{0};    ///< since the first failed attempt ended
  string finding;  ///< state of record, holders and copies in the last attempt
};

/// JSON report of at most `maxLots` waiting lots, the most urgent need first and within a need the longest wait first.
string waitingLotsReport(string const& node, vector<WaitingLot> lots, std::size_t maxLots);

}  // namespace tealshelf
