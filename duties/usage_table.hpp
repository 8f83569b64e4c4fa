#pragma once
#include "duties/usage_messages.hpp"

namespace tealshelf {

/// What processes of data-plane nodes counted, by window and tenant; no input or output of its own.
///
/// The same at the node that counts (its own entry), at the control node that it reports to, and at the holder of the
/// duties. Merging takes the larger of two counts, so that repeats and detours add nothing.
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
  /// Counts of windows up to this one change no more.
  void markFinal(ProcessKey const& process, WindowNumber through, TimePoint now);
  void merge(NodeUsage const& usage, TimePoint now);
  /// Forgets windows that were closed, and processes that have none left and weren't heard since a time.
  void forget(WindowNumber closedThrough, TimePoint heardBefore);
  /// Drops the oldest windows of a process beyond a number; gives how many requests were dropped.
  std::uint64_t dropOldest(ProcessKey const& process, std::size_t maxWindowCount);

  /// What changed after a revision.
  vector<NodeUsage> changedSince(std::uint64_t revision) const;
  std::uint64_t revision() const { return revision_; }
  /// Requests of each tenant in a window, over all processes.
  std::map<string, std::uint64_t> totals(WindowNumber window) const;
  /// The first window in which anything was counted.
  std::optional<WindowNumber> firstWindow() const;
  /// The last window up to which a process has said that its counts are final.
  WindowNumber finalThrough(ProcessKey const& process) const;
  /// Nodes whose counts of a window may still grow: of `expected` ones, those that haven't told of it; of others, those
  /// heard since a time. A process that was followed by another one of its node counts no more.
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
    std::uint64_t order = 0;     ///< rises with each new process
    std::uint64_t revision = 0;  ///< of its last change
  };
  Process& processOf(ProcessKey const& key);

  std::map<ProcessKey, Process> processes_;
  std::uint64_t lastOrder_ = 0;
  std::uint64_t revision_ = 0;
};

/// How far the node that a table is told to knows of it; no input or output of its own.
class UsageSendProgress {
 public:
  /// The revision after which changes must be told to a node: 0 for one that wasn't told before.
  std::uint64_t revisionSentTo(Address const& receiver) const { return receiver == address_ ? sentRevision_ : 0; }
  /// A node took what changed after `since` and up to `until`. One that was started anew since the last time has
  /// forgotten all that it was told before.
  void recordAccepted(Address const& receiver, std::uint64_t process, std::uint64_t since, std::uint64_t until) {
    bool const knowsAll = since == 0 || (receiver == address_ && process == process_);
    address_ = receiver;
    process_ = process;
    sentRevision_ = knowsAll ? until : 0;
  }

 private:
  Address address_;
  std::uint64_t process_ = 0, sentRevision_ = 0;
};

}  // namespace tealshelf
