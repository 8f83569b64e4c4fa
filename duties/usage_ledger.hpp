#pragma once
#include "consensus/consensus.hpp"
#include "duties/usage_table.hpp"

namespace tealshelf {

/// A committed report of a window's usage that the platform hasn't acknowledged yet.
struct UsageRecord {
  WindowNumber window;
  string body;  ///< sent to the platform byte for byte
};

/// The last closed window; stored in the keyspace `duties`.
struct UsageProgress {
  WindowNumber closedThrough;
  MSGPACK_DEFINE(closedThrough)
};

/// Which usage windows are closed, and the report of each; does no I/O.
///
/// A window is closed once, by one committed write that contains the whole body of its report and advances the progress
/// past the window. Every holder of the duties sends these bytes, so that two reports of a window can't differ, whoever
/// holds the duties and whichever messages are lost.
class UsageLedger {
 public:
  struct Timing {
    Ms window;       ///< length of a window
    Ms delay;        ///< time from the end of a window until its report is due
    Ms countsGrace;  ///< time from the end of a window until a healthy node has reported its counts
    static Timing of(Bounds const& bounds) {
      return {bounds.reportWindow, bounds.usageDelay, bounds.reportWindow / 10};
    }
  };
  explicit UsageLedger(Timing timing) : timing_(timing) {}

  WindowNumber windowAt(std::int64_t clusterTimeMs) const {
    return WindowNumber(clusterTimeMs / timing_.window.count());
  }
  /// The last window whose counts a node may declare final.
  WindowNumber finalAt(std::int64_t clusterTimeMs) const;

  /// Nullopt before the first window is closed.
  static std::optional<UsageProgress> progressIn(Values const& values);
  /// The reports that the platform hasn't acknowledged, oldest first.
  static vector<UsageRecord> unsent(Values const& values);
  /// The window to close next; nullopt before any request is counted.
  static std::optional<WindowNumber> nextToClose(Values const& values, UsageTable const& table);
  /// True once a window's counts are complete, or the wait for them has timed out. `unfinished`: nodes whose counts may
  /// still grow.
  bool mayClose(WindowNumber window, std::int64_t clusterTimeMs, vector<string> const& unfinished) const;
  /// The changes that close a window.
  static vector<KeyChange> changesToClose(WindowNumber window, std::map<string, std::uint64_t> const& counts);
  /// The change that removes a report that the platform has acknowledged.
  static KeyChange changeToRemove(WindowNumber window);

 private:
  std::int64_t endOf(WindowNumber window) const { return (window.value + 1) * timing_.window.count(); }
  Timing timing_;
};

/// The JSON body of a usage report.
string usageBody(WindowNumber window, std::map<string, std::uint64_t> const& counts);

}  // namespace tealshelf
