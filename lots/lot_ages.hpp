#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// How old lots are, by the steady clock of this process.
///
/// The time of day may step and differs between machines, so nothing final is decided by it. A process counts a lot's
/// age from the moment at which it first learned of it; a restart or a new owner may only make a lot seem younger.
class LotAges {
 public:
  using Key = std::pair<string, string>;  ///< host and id of a lot
  /// Notes that a lot is known, unless it was known before.
  void learn(Key const& lot, TimePoint now) { since_.emplace(lot, now); }
  void forget(Key const& lot) { since_.erase(lot); }
  /// The lot is at least so old.
  Ms atLeast(Key const& lot, TimePoint now) const {
    std::map<Key, TimePoint>::const_iterator const since = since_.find(lot);
    return since == since_.end() ? Ms(0) : std::chrono::duration_cast<Ms>(now - since->second);
  }
  /// How old the lot likely is, for questions of urgency only: the time of day may say that it is older than this
  /// process knows, but never that it is younger, nor that it is past its due time.
  Ms likely(Key const& lot, TimePoint now, Ms byTimeOfDay, Ms dueIn) const {
    Ms const least = atLeast(lot, now);
    return std::clamp(byTimeOfDay, least, std::max(least, dueIn));
  }

 private:
  std::map<Key, TimePoint> since_;
};

}  // namespace tealshelf
