#include "lots/coordination/store_placement.hpp"

#include <numeric>

namespace tealshelf {

namespace {
/// Bytes of result that a token is taken for.
constexpr double bytesPerToken = 4;
/// Parts of a store's limit up to which it takes copies of a purpose.
constexpr double admissionShare = 0.9, recoveryShare = 1, spareShare = 0.5;
/// Part of the stores' room that admission counts on: copies don't spread evenly.
constexpr double usableFleetShare = 0.85;

double maxLoadFor(CopyPurpose purpose) {
  switch (purpose) {
    case CopyPurpose::admission:
      return admissionShare;
    case CopyPurpose::recovery:
      return recoveryShare;
    case CopyPurpose::spare:
      return spareShare;
  }
  return 0;
}
}  // namespace

double expectedResultBytes(LotRecord const& lot) {
  return static_cast<double>(lot.tokens) * bytesPerToken;
}

bool hasRoom(StoreLoad const& load, CopyPurpose purpose, double bytes) {
  if (!load.tells()) return true;
  // What open lots still grow by is kept free, but not at the cost of a copy that must be restored.
  double const expectedGrowth = purpose == CopyPurpose::recovery ? 0 : static_cast<double>(load.expectedGrowth);
  double const taken = static_cast<double>(load.used) + expectedGrowth + bytes;
  return taken <= maxLoadFor(purpose) * static_cast<double>(load.limit);
}

bool admits(FleetLoad const& fleet, double lotBytes) {
  vector<double> limits;
  double taken = static_cast<double>(fleet.lostBytes);
  for (StoreLoad const& store : fleet.stores) {
    if (!store.tells()) return true;
    limits.push_back(static_cast<double>(store.limit));
    taken += static_cast<double>(store.used + store.expectedGrowth);
  }
  // The largest stores may be the ones that are lost.
  std::sort(limits.begin(), limits.end());
  limits.resize(limits.size() - std::min(limits.size(), fleet.lossesToTolerate));
  double const room = std::accumulate(limits.begin(), limits.end(), 0.0) * usableFleetShare;
  // With few stores not all copies can be restored, and need no room then.
  std::size_t const copies = std::min(fleet.neededCopies, limits.size());
  double const restorable =
      static_cast<double>(copies) / static_cast<double>(std::max<std::size_t>(1, fleet.neededCopies));
  return taken * fleet.neededCopyShare * restorable + lotBytes * static_cast<double>(copies) <= room;
}

}  // namespace tealshelf
