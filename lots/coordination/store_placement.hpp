#pragma once
#include "lots/messages.hpp"

/// Which stores take a copy of a lot, by their room. Without input or output.
///
/// Accepted lots are kept with survive+1 copies. So a new lot is admitted only while the stores that are left after the
/// losses to survive have room for all those copies; a copy that restores them may use what was kept free for it, and a
/// spare copy beyond them is made only while there is plenty of room.
namespace tealshelf {

/// What a copy is made for.
enum class CopyPurpose {
  admission,  ///< one of the survive+1 copies of a new lot
  recovery,   ///< restores the survive+1 copies of an accepted lot
  spare       ///< one more, so that a loss needs no recovery at once
};

/// Bytes that the results of a lot will likely take.
double expectedResultBytes(LotRecord const& lot);

/// True if a store has room for a copy of a size. One that doesn't tell its load always has.
bool hasRoom(StoreLoad const& load, CopyPurpose purpose, double bytes);

/// The stores as admission sees them.
struct FleetLoad {
  vector<StoreLoad> stores;          ///< those that are live
  std::uint64_t lostBytes = 0;       ///< of stores that were lost lately
  std::size_t lossesToTolerate = 0;  ///< how many more of them may be lost at once
  std::size_t neededCopies = 1;      ///< copies that each lot must have
  double neededCopyShare = 1;        ///< part of all copies that are needed ones; the rest are spare
};

/// True if after the losses to come the stores still have room for all needed copies, with those of a new lot.
bool admits(FleetLoad const& fleet, double lotBytes);

}  // namespace tealshelf
