#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The exponentially growing delay before a call that the platform didn't accept is retried.
class CallBackoff {
 public:
  explicit CallBackoff(Ms lease) : lease_(lease) {}
  void recordAccepted() { pause_ = Ms(0); }
  void recordNotAccepted() { pause_ = std::clamp(2 * pause_, lease_ / minPauseDivisor, lease_ / maxPauseDivisor); }
  Ms pause() const { return pause_; }

 private:
  /// The shortest and the longest delay are the lease divided by these.
  static constexpr int minPauseDivisor = 30, maxPauseDivisor = 2;
  Ms lease_;
  Ms pause_{0};
};

}  // namespace tealshelf
