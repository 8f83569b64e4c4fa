#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// A call of a duty as the platform reads it.
struct DutyCall {
  string owner;
  std::uint64_t fence = 0;
  string subject;  ///< `usage`, or the service and zone of an order
  std::optional<std::int64_t> window;
  string body;
};

/// What the platform has taken, and whether that keeps to the rule ONE.
class PlatformLedger {
 public:
  explicit PlatformLedger(Ms lease) : lease_(lease) {}
  /// False if a higher fence was seen for the subject: the call counts for nothing.
  bool admit(DutyCall const& call);
  /// Takes an admitted call; gives what it breaks, or nothing.
  vector<string> take(DutyCall const& call, TimePoint now);
  /// Windows that were left out between the first and the last that was reported.
  std::size_t gaps() const;

 private:
  struct Taken {
    string owner;
    TimePoint at;
  };
  Ms lease_;
  std::map<string, std::uint64_t> highestFences_;               ///< by subject
  std::map<std::pair<string, std::uint64_t>, string> holders_;  ///< by subject and fence
  std::map<string, std::deque<Taken>> recent_;                  ///< of the last lease, by subject
  std::map<std::int64_t, string> reports_;                      ///< bodies by window
};

}  // namespace tealshelf::soak
