#pragma once
#include "updates/messages.hpp"

namespace tealshelf {

/// Selects the node to poll for updates next; does no input or output. A source that failed is skipped for an
/// exponential backoff with jitter, so that the subscribers of a lost relay don't all return to a source at once.
class UpdateSources {
 public:
  UpdateSources(Ms initialBackoff, std::uint64_t randomSeed)
      : initialBackoff_(initialBackoff), randomState_(randomSeed) {}
  void set(vector<Address> parents, vector<Address> controls);
  /// The first source that isn't in backoff, relays before control nodes; else the one whose backoff ends first.
  Address next(TimePoint now) const;
  /// True if all sources are in backoff, so that the subscriber should pause.
  bool allBackingOff(TimePoint now) const;
  bool isParent(Address const& source) const;
  void noteAnswered(Address const& source) { failures_.erase(source); }
  void noteFailed(Address const& source, TimePoint now);
  /// All sources in order of preference, those in backoff last.
  vector<Address> inOrder(TimePoint now) const;
  /// Control nodes, those in backoff last.
  vector<Address> controlAddresses(TimePoint now) const;

 private:
  struct Failure {
    int count = 0;  ///< consecutive failures
    TimePoint backoffUntil;
  };
  bool isBackingOff(Address const& source, TimePoint now) const;

  Ms initialBackoff_;
  std::uint64_t randomState_;
  vector<Address> parents_, controls_;
  std::map<Address, Failure> failures_;
};

}  // namespace tealshelf
