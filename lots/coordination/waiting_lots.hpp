#pragma once
#include "lots/coordination/recovery_need.hpp"

namespace tealshelf {

/// A lot whose recovery was tried and didn't succeed yet.
struct WaitingLot {
  string lot, host;
  RecoveryNeed need = RecoveryNeed::none;
  RecoveryOutcome outcome = RecoveryOutcome::none;  ///< of the last try
  std::size_t tries = 0;
  Ms waited{0};    ///< since the first of the tries ended
  string finding;  ///< what the last try saw of record, holders and copies
};

/// The lots that wait, the most urgent need first and of one need the longest wait first, as a JSON text; no more than
/// `maxLots`.
string waitingLotsReport(string const& node, vector<WaitingLot> lots, std::size_t maxLots);

}  // namespace tealshelf
