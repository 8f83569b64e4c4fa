#pragma once
#include "updates/messages.hpp"

namespace tealshelf {

/// Which node is asked for updates next; no input or output of its own. One that failed rests for a growing, jittered
/// time, so that many who lose one relay don't all press on the next at once.
class UpdateSources {
 public:
  UpdateSources(Ms initialBackoff, std::uint64_t randomSeed)
      : initialBackoff_(initialBackoff), randomState_(randomSeed) {}
  void set(vector<Address> parents, vector<Address> controls);
  /// The first that doesn't rest, relays before control nodes; else the one whose rest ends first.
  Address next(TimePoint now) const;
  /// True if all rest, so that the subscriber should pause.
  bool allBackingOff(TimePoint now) const;
  bool isParent(Address const& source) const;
  void noteAnswered(Address const& source) { failures_.erase(source); }
  void noteFailed(Address const& source, TimePoint now);
  /// All in the order of preference, those that rest last.
  vector<Address> inOrder(TimePoint now) const;
  /// Control nodes, those that rest last.
  vector<Address> controlAddresses(TimePoint now) const;

 private:
  struct Failure {
    int count = 0;  ///< in a row
    TimePoint backoffUntil;
  };
  bool isBackingOff(Address const& source, TimePoint now) const;

  Ms initialBackoff_;
  std::uint64_t randomState_;
  vector<Address> parents_, controls_;
  std::map<Address, Failure> failures_;
};

}  // namespace tealshelf
