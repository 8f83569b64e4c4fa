#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// How fast the events of a stream follow each other.
class EventPace {
 public:
  /// The event of an id, or several up to it, came.
  void note(std::uint64_t lastId, TimePoint now);
  /// Nothing if fewer than two events came apart from each other.
  std::optional<double> millisecondsPerEvent() const;

 private:
  std::optional<std::uint64_t> firstId_;
  std::uint64_t lastId_ = 0;
  TimePoint firstAt_, lastAt_;
};

/// Takes whole events out of the bytes of an event stream.
class EventStreamReader {
 public:
  /// Takes bytes; gives the whole events that are complete now.
  string feed(string_view bytes);
  /// True if an event with an id was given.
  bool hasEvents() const { return hasEvents_; }
  std::uint64_t lastId() const { return lastId_; }
  /// True if no part of an event is waiting for its end.
  bool atEventBoundary() const { return partial_.empty(); }
  /// The stream goes on elsewhere, with the event after the last whole one.
  void dropPartialEvent() { partial_.clear(); }
  /// Data of the events given so far, if it is collected; set it to "" to have it collected.
  std::optional<string> data;

 private:
  void parseEvent(string_view event);
  void parseLine(string_view line);
  string partial_;
  std::uint64_t lastId_ = 0;
  bool hasEvents_ = false;
};

}  // namespace tealshelf
