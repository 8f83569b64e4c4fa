#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

/// Ages of lots by this process's steady clock.
///
/// The wall clock may step and differs between machines, so no irrevocable decision depends on it. A process counts a
/// lot's age from when it first learned of the lot; after a restart or a change of owner a lot can only seem younger.
class LotAges {
 public:
  /// Starts counting a lot's age, unless that has started already.
  void learn(LotKey const& lot, TimePoint now) { learnedAt_.emplace(lot, now); }
  void forget(LotKey const& lot) { learnedAt_.erase(lot); }
  /// Lower bound of a lot's age.
  Ms atLeast(LotKey const& lot, TimePoint now) const {
    auto const learned = learnedAt_.find(lot);
    return learned == learnedAt_.end() ? Ms(0) : std::chrono::duration_cast<Ms>(now - learned->second);
  }
  /// Estimate of a lot's age, for scheduling by urgency only. The age by the wall clock may raise it above the lower
  /// bound, but not beyond the time at which the lot is due.
  Ms likely(LotKey const& lot, TimePoint now, Ms byTimeOfDay, Ms dueIn) const {
    Ms const least = atLeast(lot, now);
    return std::clamp(byTimeOfDay, least, std::max(least, dueIn));
  }

 private:
  std::map<LotKey, TimePoint> learnedAt_;
};

}  // namespace tealshelf
