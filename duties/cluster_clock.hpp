#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The time of day as most control nodes have it, so that the windows of usage don't depend on one machine's clock; no
/// input or output of its own.
///
/// Each node tells its time of day with its heartbeats. The median over the nodes is wrong only if the clocks of half
/// of them are. A message that was held back makes its sender's clock look slow until the next one comes.
class MedianClock {
 public:
  /// Readings older than `expiry` don't count.
  explicit MedianClock(Ms expiry) : expiry_(expiry) {}
  /// Takes the time of day of a node, this one included, in milliseconds since 1970.
  void noteReading(NodeId node, std::int64_t wallMs, TimePoint now);
  /// Milliseconds since 1970; nothing without a recent reading.
  std::optional<std::int64_t> nowMs(TimePoint now) const;

 private:
  struct Reading {
    std::int64_t offsetMs = 0;  ///< of the node's time of day to this process's steady clock
    TimePoint at;
  };
  Ms expiry_;
  std::map<NodeId, Reading> readings_;
};

/// The time of day of a process that follows another one's; its own before it heard of that.
class FollowerClock {
 public:
  /// An answer that took longer than `maxRoundTrip` says too little.
  explicit FollowerClock(Ms maxRoundTrip) : maxRoundTrip_(maxRoundTrip) {}
  /// Takes the time of an answer to a question asked at `askedAt`.
  void noteAnswer(std::int64_t clusterTimeMs, TimePoint askedAt, TimePoint now);
  /// False before the other process was heard.
  bool isSynchronized() const { return offsetMs_.has_value(); }
  /// The time of day at a reading of the steady clock, in milliseconds since 1970.
  std::int64_t at(TimePoint moment) const;

 private:
  Ms maxRoundTrip_;
  std::optional<std::int64_t> offsetMs_;
};

}  // namespace tealshelf
