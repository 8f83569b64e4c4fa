#pragma once
#include "tools/soak/options.hpp"

#include <fstream>

namespace tealshelf::soak {

struct FailedCheck {
  string rule, text;
};

/// Records the events and failed checks of a run, on the console and in events.txt beside the logs.
class Verdict {
 public:
  Verdict(string directory, std::uint64_t seed);
  /// Records a failed check: the violated rule and what was found.
  void fail(string_view rule, string const& text);
  /// Writes an event to the console and the file.
  void note(string const& text);
  /// Writes an event to the file only.
  void trace(string const& text);
  void count(string_view what) { ++counts_[string(what)]; }
  std::uint64_t failures() const { return failed_.size(); }
  vector<FailedCheck> const& failed() const { return failed_; }
  /// Writes all counters in one line, and the result.
  void summarize();

 private:
  string stamp() const;

  string directory_;
  std::uint64_t seed_;
  TimePoint startedAt_ = Clock::now();
  std::ofstream events_;
  vector<FailedCheck> failed_;
  std::map<string, std::uint64_t> counts_;
};

}  // namespace tealshelf::soak
