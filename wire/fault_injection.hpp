#pragma once
#include "base/tealshelf.hpp"

#ifdef TEALSHELF_FAULTS

/// Faults of the network between the system's own processes, for the soak (docs/soak.md). Compiled in by the CMake
/// option TEALSHELF_FAULTS only; a release has none of it.
namespace tealshelf {

/// Cuts and lost answers, as a text file tells them. The file may be replaced at any time; it is looked at again after
/// a few milliseconds. Lines are
///   cut FROM TO       bytes that one IP sends to another don't arrive until the line is gone
///   lose SELF SHARE   of the answers to calls of an IP, such a share is lost, with the connection
/// The calling process sees to both ways of its connections, so that every pair is covered by the two callers.
class FaultInjection {
 public:
  /// The faults of this process: TEALSHELF_FAULT_FILE names the file, TEALSHELF_FAULT_SELF the IP of the process.
  /// Without these variables there are none.
  static FaultInjection& instance();

  /// True while nothing that this process sends arrives at an IP.
  bool blocksSending(string const& to);
  /// True while nothing that an IP sends arrives here.
  bool blocksReceiving(string const& from);
  /// Draws whether the next answer to a call of this process is lost.
  bool losesReply();

 private:
  FaultInjection();
  void refresh();
  void readFile();

  string path_, self_;
  TimePoint lastCheckedAt_;
  std::int64_t version_ = -1;  ///< of the file that was read last
  std::set<string> blockedDestinations_, blockedSources_;
  double replyLossRate_ = 0;
};

/// Waits while a cut is open, at most until a time; false if it is open still.
Task<bool> waitUntilReachable(std::function<bool()> isBlocked, TimePoint until);

}  // namespace tealshelf

#endif
