#pragma once
#include "tallies/tally_add.hpp"

namespace tealshelf {

/// The keys of settled additions, 64 bits each, by the time at which they were accepted.
///
/// An addition repeats another if its key is the same and it was accepted at most `retention` later, rounded to
/// generations of an eighth of that. The rule depends on the times of the two additions alone, so that nodes which
/// expire keys at different times still agree.
class RememberedKeys {
 public:
  /// The keys accepted in one interval of time.
  struct Generation {
    std::int64_t number = 0;
    vector<std::uint64_t> keys;  ///< sorted, without duplicates
    MSGPACK_DEFINE(number, keys)
  };

  explicit RememberedKeys(Ms retention) : generationLength_(std::max<Ms>(Ms(1), retention / generationsKept)) {}

  bool contains(AddKey const& key, std::int64_t acceptedAtMs) const;
  /// Adds keys; large batches are faster.
  void add(vector<TallyAdd> const& adds);
  /// Removes keys that no later addition can repeat any more. One extra generation is kept to allow for clock skew.
  void forget(std::int64_t nowMs);
  std::size_t size() const;
  vector<Generation> generations() const;
  void assign(vector<Generation> const& generations);

 private:
  static constexpr std::int64_t generationsKept = 8;
  std::int64_t generationOf(std::int64_t acceptedAtMs) const { return acceptedAtMs / generationLength_.count(); }

  Ms generationLength_;
  std::map<std::int64_t, vector<std::uint64_t>> keys_;
};

}  // namespace tealshelf
