#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// The file that tells our processes which ways are cut and whose answers are lost (wire/fault_injection.hpp).
class CutTable {
 public:
  explicit CutTable(string path);
  string const& path() const { return path_; }
  /// Cuts one way; cuts of the same way add up.
  void cut(string const& from, string const& to);
  void mend(string const& from, string const& to);
  /// Loses a share of the answers to calls of an IP; 0 ends it.
  void loseAnswers(string const& caller, double share);
  /// Makes what was changed known to the processes.
  void publish() const;
  bool empty() const { return cuts_.empty() && lostShares_.empty(); }

 private:
  struct Way {
    string from, to;
    auto operator<=>(Way const&) const = default;
  };
  string path_;
  std::map<Way, int> cuts_;
  std::map<string, double> lostShares_;
};

}  // namespace tealshelf::soak
