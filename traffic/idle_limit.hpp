#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// How many idle connections a node keeps to one worker. No input or output of its own.
///
/// A worker takes `maxConnections` from all nodes together and resets more, and no node knows what the others hold. So
/// each keeps a part of them at the most, half as many after a new connection was reset, and one more again after each
/// quiet span, as congestion windows do.
class IdleConnectionLimit {
 public:
  explicit IdleConnectionLimit(Ms recoveryInterval) : recoveryInterval_(recoveryInterval) {}

  /// Takes what the service's configuration says over; 0: no bound.
  void setMaxConnections(std::uint64_t maxConnections) {
    constexpr std::uint64_t nodeShareDivisor = 8;
    configuredLimit_ = maxConnections ? std::max<std::uint64_t>(1, maxConnections / nodeShareDivisor) : unbounded;
  }
  /// A new connection was reset while this node held so many idle ones.
  void noteReset(std::size_t idle, TimePoint now) {
    reducedLimit_ = std::max<std::uint64_t>(1, std::min<std::uint64_t>(value(now), idle) / 2);
    limitReducedAt_ = now;
  }
  /// The limit at a time; one at the least.
  std::uint64_t value(TimePoint now) const {
    if (reducedLimit_ == unbounded) return configuredLimit_;
    std::uint64_t const recoveryIntervals = static_cast<std::uint64_t>((now - limitReducedAt_) / recoveryInterval_);
    return std::min(configuredLimit_, reducedLimit_ + recoveryIntervals);
  }

 private:
  static constexpr std::uint64_t unbounded = std::numeric_limits<std::uint64_t>::max();
  Ms recoveryInterval_;
  std::uint64_t configuredLimit_ = unbounded, reducedLimit_ = unbounded;
  TimePoint limitReducedAt_;
};

}  // namespace tealshelf
