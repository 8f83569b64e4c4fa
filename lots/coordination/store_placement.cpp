#include "lots/coordination/store_placement.hpp"

#include <numeric>

namespace tealshelf {

namespace {
/// Estimated bytes of result for each token.
constexpr double bytesPerToken = 4;
/// Fractions of a store's limit up to which it accepts copies of each purpose.
constexpr double admissionShare = 0.9, recoveryShare = 1, spareShare = 0.5;
/// Fraction of the stores' total space that admission relies on, as copies don't spread evenly.
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
  if (!load.isReported()) return true;
  // Space for the growth of open lots is reserved, but not against copies that restore redundancy.
  double const expectedGrowth = purpose == CopyPurpose::recovery ? 0 : static_cast<double>(load.expectedGrowth);
  double const used = static_cast<double>(load.used) + expectedGrowth + bytes;
  return used <= maxLoadFor(purpose) * static_cast<double>(load.limit);
}

bool admits(FleetLoad const& fleet, double lotBytes) {
  vector<double> limits;
  double used = static_cast<double>(fleet.lostBytes);
  for (StoreLoad const& store : fleet.stores) {
    if (!store.isReported()) return true;
    limits.push_back(static_cast<double>(store.limit));
    used += static_cast<double>(store.used + store.expectedGrowth);
  }
  // Assume that the largest stores are lost.
  std::sort(limits.begin(), limits.end());
  limits.resize(limits.size() - std::min(limits.size(), fleet.lossesToTolerate));
  double const room = std::accumulate(limits.begin(), limits.end(), 0.0) * usableFleetShare;
  // With fewer stores than needed copies the missing ones can't be restored and need no space.
  std::size_t const copies = std::min(fleet.neededCopies, limits.size());
  double const restorable =
      static_cast<double>(copies) / static_cast<double>(std::max<std::size_t>(1, fleet.neededCopies));
  return used * fleet.neededCopyShare * restorable + lotBytes * static_cast<double>(copies) <= room;
}

}  // namespace tealshelf
