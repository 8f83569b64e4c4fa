#pragma once
#include "tallies/tally_add.hpp"

namespace tealshelf {

/// The keys of settled additions, 64 bits each, by the time at which they were taken.
///
/// An addition repeats another if its key is the same and it was taken at most `retention` later, in steps of a
/// generation of an eighth of that. The rule goes by the times of the two additions alone, so that nodes which forget
/// at different moments still agree.
class RememberedKeys {
 public:
  /// Keys taken in one span of time.
  struct Generation {
    std::int64_t number = 0;
    vector<std::uint64_t> keys;  ///< sorted, each once
    MSGPACK_DEFINE(number, keys)
  };

  explicit RememberedKeys(Ms retention) : generationLength_(std::max<Ms>(Ms(1), retention / generationsKept)) {}

  bool contains(AddKey const& key, std::int64_t acceptedAtMs) const;
  /// Adds keys; more at once is quicker.
  void add(vector<TallyAdd> const& adds);
  /// Forgets what no later addition can repeat any more. A generation more is kept, for clocks that differ.
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
