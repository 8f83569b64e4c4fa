#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Limits how many idle connections a node keeps to one worker. Performs no I/O.
///
/// A worker accepts `maxConnections` from all nodes together and resets further ones, and no node knows how many the
/// others hold. So the limit starts as a share of `maxConnections` and changes by additive increase, multiplicative
/// decrease: it is halved when a new connection is reset and rises by one after each recovery interval without a reset.
class IdleConnectionLimit {
 public:
  explicit IdleConnectionLimit(Ms recoveryInterval) : recoveryInterval_(recoveryInterval) {}

  /// Sets the bound from the service's configuration; 0: unbounded.
  void setMaxConnections(std::uint64_t maxConnections) {
    constexpr std::uint64_t nodeShareDivisor = 8;
    configuredLimit_ = maxConnections ? std::max<std::uint64_t>(1, maxConnections / nodeShareDivisor) : unbounded;
  }
  /// A new connection was reset while this node held `idle` idle ones.
  void noteReset(std::size_t idle, TimePoint now) {
    reducedLimit_ = std::max<std::uint64_t>(1, std::min<std::uint64_t>(value(now), idle) / 2);
    limitReducedAt_ = now;
  }
  /// The limit at a time; at least 1.
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
