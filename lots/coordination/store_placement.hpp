#pragma once
#include "lots/messages.hpp"

/// Rules on which stores have room for a copy of a lot; they do no I/O.
/// Accepted lots have survive+1 copies. A new lot is admitted only if the stores that remain after the losses to
/// survive have room for all copies. A copy that restores redundancy may use the space reserved by this rule; a spare
/// copy is made only while there is plenty of room.
namespace tealshelf {

/// The purpose of a copy.
enum class CopyPurpose {
  admission,  ///< one of the survive+1 copies of a new lot
  recovery,   ///< restores the survive+1 copies of an accepted lot
  spare       ///< one beyond survive+1, so that a loss needs no immediate recovery
};

/// Estimated size of all results of a lot.
double expectedResultBytes(LotRecord const& lot);

/// True if a store has room for a copy of a size; always true if it doesn't report its load.
bool hasRoom(StoreLoad const& load, CopyPurpose purpose, double bytes);

/// The stores as admission sees them.
struct FleetLoad {
  vector<StoreLoad> stores;          ///< live stores
  std::uint64_t lostBytes = 0;       ///< load of recently lost stores, whose copies must be restored
  std::size_t lossesToTolerate = 0;  ///< further simultaneous losses of stores to survive
  std::size_t neededCopies = 1;      ///< copies that each lot must have
  double neededCopyShare = 1;        ///< fraction of all copies that aren't spare
};

/// True if the stores have room for all needed copies, including those of a new lot, even after the losses to tolerate.
bool admits(FleetLoad const& fleet, double lotBytes);

}  // namespace tealshelf
