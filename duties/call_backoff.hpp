#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The growing pause before a call that the platform didn't take is made again.
class CallBackoff {
 public:
  explicit CallBackoff(Ms lease) : lease_(lease) {}
  void recordAccepted() { pause_ = Ms(0); }
  void recordNotAccepted() { pause_ = std::clamp(2 * pause_, lease_ / firstPart, lease_ / longestPart); }
  Ms pause() const { return pause_; }

 private:
  /// Parts of a lease: the first and the longest pause.
  static constexpr int firstPart = 30, longestPart = 2;
  Ms lease_;
  Ms pause_{0};
};

}  // namespace tealshelf
