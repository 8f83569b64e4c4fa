#pragma once
#include "tallies/remembered_keys.hpp"

namespace tealshelf {

/// The total of one tally, as it is stored and sent.
struct StoredTotal {
  string tally;
  std::int64_t high = 0;
  std::uint64_t low = 0;
  MSGPACK_DEFINE(tally, high, low)
};

/// A whole table, as it is stored and sent.
struct TallyState {
  vector<AddBatch> recent;  ///< one for each origin; `first` is set even if it has no additions
  vector<StoredTotal> totals;
  vector<RememberedKeys::Generation> remembered;
  MSGPACK_DEFINE(recent, totals, remembered)
};

/// All additions that one node knows, and their totals; does no I/O.
///
/// A total is the sum over the keys of all additions, each key once: two nodes with the same additions have the same
/// totals, whatever order they arrived in. If two additions with the same key differ, the smaller change counts.
///
/// An addition is recent, and kept with its sequence number, until all members have it; then it is settled: its change
/// stays in the total, and only its key is remembered, as long as a repeat may arrive.
class TallyTable {
 public:
  enum class AddResult { added, repeated, conflicting };
  struct AddOutcome {
    AddResult result = AddResult::added;
    /// Of the new addition, or of the earlier one with its key; nullopt if that one is settled, so that all members
    /// have it.
    std::optional<AddPosition> position;
  };

  /// A repeat of a settled addition is detected for `retention`.
  explicit TallyTable(Ms retention) : remembered_(retention) {}

  /// Appends an addition of a caller to an origin's log, unless its key is known.
  AddOutcome add(OriginId origin, TallyAdd add);
  /// Applies the additions of an origin that directly follow the known ones; ignores the others. True if any was new.
  bool apply(AddBatch const& batch);
  /// The total of a tally; 0 for an unknown name.
  TallyTotal total(string const& tally) const;
  std::map<string, TallyTotal> const& totals() const { return totals_; }

  /// The last known sequence number of each origin.
  VersionVector known() const;
  /// The last settled sequence number of each origin; additions up to it can't be sent individually any more.
  VersionVector settled() const;
  /// The last known sequence number of an origin; 0 if there is none.
  std::uint64_t lastOf(OriginId origin) const;
  /// Recent additions of an origin after sequence number `number`, up to `upTo`; at most `limit`.
  AddBatch additionsAfter(OriginId origin, std::uint64_t number, std::uint64_t upTo, std::size_t limit) const;

  /// Settles additions that all members have according to `syncedByAll`, and that were accepted before
  /// `acceptedBeforeMs`.
  void settle(VersionVector const& syncedByAll, std::int64_t acceptedBeforeMs);
  /// Removes keys of settled additions that can't be repeated any more.
  void forget(std::int64_t nowMs) { remembered_.forget(nowMs); }

  TallyState state() const;
  /// Installs the state of another node, and reapplies local additions that it lacks. Returns false and changes nothing
  /// if this node has settled additions that the state lacks.
  bool install(TallyState const& state);

  std::size_t recentCount() const;
  std::size_t rememberedCount() const { return remembered_.size(); }
  /// The approximate size of the state on disk, in bytes.
  std::size_t storedSize() const;

 private:
  /// The recent additions of an origin.
  struct OriginLog {
    std::uint64_t first = 1;  ///< sequence number of the first recent addition; all before it are settled
    std::deque<TallyAdd> adds;
    std::uint64_t last() const { return first + adds.size() - 1; }
  };
  /// The entry of a recent addition's key.
  struct RecentKey {
    std::int64_t change = 0;  ///< the change that is included in the total
    AddPosition position;     ///< of the first addition with this key that this node learned of
  };
  struct KeyHash {
    std::size_t operator()(AddKey const& key) const { return key.low; }
  };

  void append(OriginId origin, TallyAdd add);
  void count(TallyAdd const& add, AddPosition position);

  std::map<OriginId, OriginLog> origins_;
  std::unordered_map<AddKey, RecentKey, KeyHash> recentKeys_;
  std::map<string, TallyTotal> totals_;
  RememberedKeys remembered_;
};

}  // namespace tealshelf
