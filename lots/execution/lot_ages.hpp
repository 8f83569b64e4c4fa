#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

/// How old lots are, by the steady clock of this process.
///
/// The time of day may step and differs between machines, so nothing final is decided by it. A process counts a lot's
/// age from the time at which it first learned of it; a restart or a new owner may only make a lot seem younger.
class LotAges {
 public:
  /// Notes that a lot is known, unless it was known before.
  void learn(LotKey const& lot, TimePoint now) { learnedAt_.emplace(lot, now); }
  void forget(LotKey const& lot) { learnedAt_.erase(lot); }
  /// The lot is at least so old.
  Ms atLeast(LotKey const& lot, TimePoint now) const {
    auto const learned = learnedAt_.find(lot);
    return learned == learnedAt_.end() ? Ms(0) : std::chrono::duration_cast<Ms>(now - learned->second);
  }
  /// How old the lot likely is, for questions of urgency only: the time of day may say that it is older than this
  /// process knows, but never that it is younger, nor that it is past its due time.
  Ms likely(LotKey const& lot, TimePoint now, Ms byTimeOfDay, Ms dueIn) const {
    Ms const least = atLeast(lot, now);
    return std::clamp(byTimeOfDay, least, std::max(least, dueIn));
  }

 private:
  std::map<LotKey, TimePoint> learnedAt_;
};

}  // namespace tealshelf
