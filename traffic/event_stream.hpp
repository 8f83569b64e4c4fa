#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Measures the mean time between the events of a stream.
class EventPace {
 public:
  /// Events up to this id have arrived.
  void note(std::uint64_t lastId, TimePoint now);
  /// std::nullopt until events have arrived at two different times.
  std::optional<double> millisecondsPerEvent() const;

 private:
  std::optional<std::uint64_t> firstId_;
  std::uint64_t lastId_ = 0;
  TimePoint firstAt_, lastAt_;
};

/// Splits the bytes of an event stream (server-sent events) into whole events.
class EventStreamReader {
 public:
  /// Appends bytes and returns the events that are complete now.
  string feed(string_view bytes);
  /// True if an event with an id was returned.
  bool hasEvents() const { return hasEvents_; }
  std::uint64_t lastId() const { return lastId_; }
  /// Bytes of the partial event that is buffered.
  std::size_t partialBytes() const { return partial_.size(); }
  /// True if no partial event is buffered.
  bool atEventBoundary() const { return partial_.empty(); }
  /// Drops the partial event: the stream resumes at another worker, after the last whole event.
  void dropPartialEvent() { partial_.clear(); }
  /// Data of the events returned so far; collected only if set to "" before.
  std::optional<string> data;

 private:
  void parseEvent(string_view event);
  void parseLine(string_view line);
  string partial_;
  std::uint64_t lastId_ = 0;
  bool hasEvents_ = false;
};

}  // namespace tealshelf
