#pragma once
#include "tools/soak/options.hpp"

#include <fstream>

namespace tealshelf::soak {

struct FailedCheck {
  string rule, text;
};

/// Notes what happened in a run and which checks failed. Both go to the console and to files beside the logs.
class Verdict {
 public:
  Verdict(string directory, std::uint64_t seed);
  /// A check failed: the rule that is broken, and how.
  void fail(string_view rule, string const& text);
  /// Something that helps to read the run.
  void note(string const& text);
  /// Something for the file only.
  void trace(string const& text);
  void count(string_view what) { ++counts_[string(what)]; }
  std::uint64_t failures() const { return failed_.size(); }
  /// All failed checks.
  vector<FailedCheck> const& failed() const { return failed_; }
  /// Writes what was counted, one line.
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
