#pragma once
#include "consensus/consensus.hpp"
#include "duties/usage_table.hpp"

namespace tealshelf {

/// A report of a window's usage that is committed, and that the platform hasn't acknowledged.
struct UsageRecord {
  WindowNumber window;
  string body;  ///< what the platform is sent, to the byte
};

/// How far the usage is closed; stored in the keyspace `duties`.
struct UsageProgress {
  WindowNumber closedThrough;
  MSGPACK_DEFINE(closedThrough)
};

/// Which windows of usage are closed, and with what report; no input or output of its own.
///
/// A window is closed once, by one committed write that holds the whole body of its report and moves the progress past
/// the window. Whoever sends the report sends these bytes, so that two reports of a window can't differ, whoever holds
/// the duties and whatever was lost on the way.
class UsageLedger {
 public:
  struct Timing {
    Ms window;       ///< the length of a window
    Ms delay;        ///< after its end a window's report is due
    Ms countsGrace;  ///< after a window's end the counts of a node that works well are there
    static Timing of(Bounds const& bounds) {
      return {bounds.reportWindow, bounds.usageDelay, bounds.reportWindow / 10};
    }
  };
  explicit UsageLedger(Timing timing) : timing_(timing) {}

  WindowNumber windowAt(std::int64_t clusterTimeMs) const {
    return WindowNumber(clusterTimeMs / timing_.window.count());
  }
  /// The last window whose counts a node may call final.
  WindowNumber finalAt(std::int64_t clusterTimeMs) const;

  /// Nothing before the first window was closed.
  static std::optional<UsageProgress> progressIn(Values const& values);
  /// What the platform hasn't acknowledged, the oldest first.
  static vector<UsageRecord> unsent(Values const& values);
  /// The window to close next; nothing before anything was counted.
  static std::optional<WindowNumber> nextToClose(Values const& values, UsageTable const& table);
  /// True once a window's counts are complete, or can't be waited for any longer. `unfinished`: nodes whose counts may
  /// still grow.
  bool mayClose(WindowNumber window, std::int64_t clusterTimeMs, vector<string> const& unfinished) const;
  /// The changes that close a window.
  static vector<KeyChange> changesToClose(WindowNumber window, std::map<string, std::uint64_t> const& counts);
  /// The change that forgets a report that the platform acknowledged.
  static KeyChange changeToRemove(WindowNumber window);

 private:
  std::int64_t endOf(WindowNumber window) const { return (window.value + 1) * timing_.window.count(); }
  Timing timing_;
};

/// The body of a report of usage.
string usageBody(WindowNumber window, std::map<string, std::uint64_t> const& counts);

}  // namespace tealshelf
