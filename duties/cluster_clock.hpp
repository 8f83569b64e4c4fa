#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The median wall-clock time of the control nodes, so that usage windows don't depend on one machine's clock; does no
/// I/O.
///
/// Each node sends its wall-clock time with its heartbeats. The median is wrong only if half of the clocks are. A
/// delayed message makes its sender's clock look slow until the next one arrives.
class MedianClock {
 public:
  /// Readings older than `expiry` are ignored.
  explicit MedianClock(Ms expiry) : expiry_(expiry) {}
  /// Takes the wall-clock time of a node, this one included, in milliseconds since 1970.
  void noteReading(NodeId node, std::int64_t wallMs, TimePoint now);
  /// Milliseconds since 1970; nullopt without a recent reading.
  std::optional<std::int64_t> nowMs(TimePoint now) const;

 private:
  struct Reading {
    std::int64_t offsetMs = 0;  ///< from this process's steady clock to the node's wall clock
    TimePoint at;
  };
  Ms expiry_;
  std::map<NodeId, Reading> readings_;
};

/// A clock that is synchronized to another process's time; the local wall clock before the first answer.
class FollowerClock {
 public:
  /// An answer that took longer than `maxRoundTrip` is too inaccurate and is ignored.
  explicit FollowerClock(Ms maxRoundTrip) : maxRoundTrip_(maxRoundTrip) {}
  /// Takes the time in an answer to a request sent at `askedAt`.
  void noteAnswer(std::int64_t clusterTimeMs, TimePoint askedAt, TimePoint now);
  /// False before the first usable answer.
  bool isSynchronized() const { return offsetMs_.has_value(); }
  /// The wall-clock time at a reading of the steady clock, in milliseconds since 1970.
  std::int64_t at(TimePoint moment) const;

 private:
  Ms maxRoundTrip_;
  std::optional<std::int64_t> offsetMs_;
};

}  // namespace tealshelf
