#pragma once
#include "duties/usage_messages.hpp"

namespace tealshelf {

/// The request counts of processes of data-plane nodes, by window and tenant; does no I/O.
///
/// Used at the counting node (for its own entry), at the control node that it reports to, and at the holder of the
/// duties. Merging takes the larger of two counts, so that repeated or rerouted reports add nothing.
class UsageTable {
 public:
  /// One process of a node.
  struct ProcessKey {
    string node;
    std::uint64_t incarnation = 0;
    auto operator<=>(ProcessKey const&) const = default;
  };

  /// Counts one request of a tenant.
  void count(ProcessKey const& process, WindowNumber window, string const& tenant);
  /// Declares that the counts of windows up to `through` don't change any more; later requests count in the next one.
  void markFinal(ProcessKey const& process, WindowNumber through, TimePoint now);
  void merge(NodeUsage const& usage, TimePoint now);
  /// Removes closed windows, and processes that have none left and were last heard before `heardBefore`.
  void forget(WindowNumber closedThrough, TimePoint heardBefore);
  /// Drops the oldest windows of a process beyond `maxWindowCount`; returns the number of requests dropped.
  std::uint64_t dropOldest(ProcessKey const& process, std::size_t maxWindowCount);

  /// The windows that changed after a revision.
  vector<NodeUsage> changedSince(std::uint64_t revision) const;
  std::uint64_t revision() const { return revision_; }
  /// Requests of each tenant in a window, over all processes.
  std::map<string, std::uint64_t> totals(WindowNumber window) const;
  /// The first window that has counts.
  std::optional<WindowNumber> firstWindow() const;
  /// The last window that a process has declared final.
  WindowNumber finalThrough(ProcessKey const& process) const;
  /// Nodes whose counts of a window aren't final: those in `expected`, and others heard at or after `heardSince`. Only
  /// the latest process of each node is considered.
  vector<string> unfinished(WindowNumber window, std::set<string> const& expected, TimePoint heardSince) const;
  std::size_t size() const { return processes_.size(); }

 private:
  struct Window {
    std::map<string, std::uint64_t> counts;
    std::uint64_t revision = 0;
  };
  struct Process {
    std::map<WindowNumber, Window> windows;
    WindowNumber finalThrough;
    TimePoint heardAt;
    std::uint64_t order = 0;     ///< increases with each new process
    std::uint64_t revision = 0;  ///< of the last change
  };
  Process& processOf(ProcessKey const& key);

  std::map<ProcessKey, Process> processes_;
  std::uint64_t lastOrder_ = 0;
  std::uint64_t revision_ = 0;
};

/// The table revision up to which changes have been sent to the receiving node; does no I/O.
class UsageSendProgress {
 public:
  /// The revision after which changes must be sent to a node: 0 for a node other than the last one.
  std::uint64_t revisionSentTo(Address const& receiver) const { return receiver == address_ ? sentRevision_ : 0; }
  /// Called when a node has accepted the changes after `since` and up to `until`. A node that was restarted since the
  /// last time has lost all earlier changes.
  void recordAccepted(Address const& receiver, std::uint64_t process, std::uint64_t since, std::uint64_t until) {
    bool const hasAllChanges = since == 0 || (receiver == address_ && process == process_);
    address_ = receiver;
    process_ = process;
    sentRevision_ = hasAllChanges ? until : 0;
  }

 private:
  Address address_;
  std::uint64_t process_ = 0, sentRevision_ = 0;
};

}  // namespace tealshelf
