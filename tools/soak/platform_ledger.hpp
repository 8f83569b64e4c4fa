#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// A call to the platform from a holder of the duties.
struct DutyCall {
  string owner;
  std::uint64_t fence = 0;
  string subject;  ///< `usage`, or service and zone of a capacity order
  std::optional<std::int64_t> window;
  string body;
};

/// Calls that the platform has accepted; checks the rule ONE (a single holder of the duties at a time).
class PlatformLedger {
 public:
  explicit PlatformLedger(Ms lease) : lease_(lease) {}
  /// False if the subject has been called under a higher fence: the call is rejected.
  bool admit(DutyCall const& call);
  /// Records an admitted call and returns the violations that it shows.
  vector<string> record(DutyCall const& call, TimePoint now);
  /// Unreported windows between the first and the last reported one.
  std::size_t gaps() const;

 private:
  struct AcceptedCall {
    string owner;
    TimePoint at;
  };
  Ms lease_;
  std::map<string, std::uint64_t> highestFences_;               ///< highest fence by subject
  std::map<std::pair<string, std::uint64_t>, string> holders_;  ///< owner by subject and fence
  std::map<string, std::deque<AcceptedCall>> recent_;           ///< calls within the last lease period, by subject
  std::map<std::int64_t, string> reports_;                      ///< report bodies by window
};

}  // namespace tealshelf::soak
