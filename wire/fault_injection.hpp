#pragma once
#include "base/tealshelf.hpp"

#ifdef TEALSHELF_FAULTS

/// Injects network faults between tealshelf processes for the soak test (docs/soak.md). Compiled in only with the CMake
/// option TEALSHELF_FAULTS; release builds don't contain it.
namespace tealshelf {

/// Network partitions and lost replies, configured by a text file. The file may be replaced at any time; it is polled
/// every few milliseconds. Lines are
///   cut FROM TO       bytes sent from one IP to another don't arrive until the line is removed
///   lose SELF SHARE   this fraction of the replies to calls from an IP is lost, together with the connection
/// The calling process applies the faults to both directions of its connections, so no callee has to.
class FaultInjection {
 public:
  /// The faults of this process: TEALSHELF_FAULT_FILE names the file, TEALSHELF_FAULT_SELF the IP of the process.
  /// Without these variables there are none.
  static FaultInjection& instance();

  /// True while nothing that this process sends reaches an IP.
  bool blocksSending(string const& to);
  /// True while nothing that an IP sends reaches this process.
  bool blocksReceiving(string const& from);
  /// Decides at random whether the next reply to a call of this process is lost.
  bool losesReply();

 private:
  FaultInjection();
  void refresh();
  void readFile();

  string path_, self_;
  TimePoint lastCheckedAt_;
  std::int64_t version_ = -1;  ///< of the file when it was last read
  std::set<string> blockedDestinations_, blockedSources_;
  double replyLossRate_ = 0;
};

/// Waits while `isBlocked` holds, until a time at most; false if it still holds.
Task<bool> waitUntilReachable(std::function<bool()> isBlocked, TimePoint until);

}  // namespace tealshelf

#endif
