#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// Writes the file that tells the processes which links are cut and whose answers are lost (wire/fault_injection.hpp).
class NetworkFaultTable {
 public:
  explicit NetworkFaultTable(string path);
  string const& path() const { return path_; }
  /// Cuts a link in one direction; the cuts of a link are counted.
  void cut(string const& from, string const& to);
  void restore(string const& from, string const& to);
  /// Loses a share of the answers to calls from an IP; 0 ends the loss.
  void injectAnswerLoss(string const& caller, double share);
  /// Writes the file, from which the processes read the changes.
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
