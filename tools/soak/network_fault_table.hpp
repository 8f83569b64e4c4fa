#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// The file that tells our processes which ways are cut and whose answers are lost (wire/fault_injection.hpp).
class NetworkFaultTable {
 public:
  explicit NetworkFaultTable(string path);
  string const& path() const { return path_; }
  /// Cuts one way; cuts of the same way add up.
  void cut(string const& from, string const& to);
  void restore(string const& from, string const& to);
  /// Loses a share of the answers to calls of an IP; 0 ends it.
  void injectAnswerLoss(string const& caller, double share);
  /// Makes what was changed known to the processes.
  void publish() const;
  bool empty() const { return linkCuts_.empty() && answerLossShares_.empty(); }

 private:
  struct Link {
    string from, to;
    auto operator<=>(Link const&) const = default;
  };
  string path_;
  std::map<Link, int> linkCuts_;
  std::map<string, double> answerLossShares_;
};

}  // namespace tealshelf::soak
