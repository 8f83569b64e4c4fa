#pragma once
#include "tallies/remembered_keys.hpp"

namespace tealshelf {

/// The sum of one tally, as it is stored and sent.
struct StoredTotal {
  string tally;
  std::int64_t high = 0;
  std::uint64_t low = 0;
  MSGPACK_DEFINE(tally, high, low)
};

/// A whole table, as it is stored and sent.
struct TallyState {
  vector<AddBatch> recent;  ///< for each origin one; its `first` is there also where it has no additions
  vector<StoredTotal> totals;
  vector<RememberedKeys::Generation> remembered;
  MSGPACK_DEFINE(recent, totals, remembered)
};

/// All additions that one node knows, and their sums; no input or output of its own.
///
/// A total is the sum over the keys of all additions, each key once: whichever order they arrive in, two nodes with the
/// same additions have the same totals. Where two additions of a key differ, the smaller change counts.
///
/// An addition is recent, with its number, until all members have it; then it is settled: its change stays in the
/// total, and of it only the key is remembered, for as long as a repeat may come.
class TallyTable {
 public:
  enum class AddResult { added, repeated, conflicting };
  struct AddOutcome {
    AddResult result = AddResult::added;
    /// Of the new addition, or of the earlier one with its key; nothing if that is settled, and so at all members.
    std::optional<AddPosition> position;
  };

  /// A repeat is known as one for as long as `retention`.
  explicit TallyTable(Ms retention) : remembered_(retention) {}

  /// Takes an addition of a caller at the end of an origin's log, unless its key is known.
  AddOutcome add(OriginId origin, TallyAdd add);
  /// Takes in additions of an origin that follow the known ones; others are left out. True if one was new.
  bool apply(AddBatch const& batch);
  /// The sum of a tally; 0 for a name that is new.
  TallyTotal total(string const& tally) const;
  std::map<string, TallyTotal> const& totals() const { return totals_; }

  /// What is known of each origin.
  VersionVector known() const;
  /// What is settled of each origin; it can't be told one by one any more.
  VersionVector settled() const;
  /// The number up to which an origin's additions are known.
  std::uint64_t lastOf(OriginId origin) const;
  /// Additions of an origin that follow a number, up to another one; at most `limit`.
  AddBatch additionsAfter(OriginId origin, std::uint64_t number, std::uint64_t upTo, std::size_t limit) const;

  /// Settles what all members have by a vector, and was taken before a time of day.
  void settle(VersionVector const& everywhere, std::int64_t acceptedBeforeMs);
  /// Forgets keys of settled additions that no repeat can come for.
  void forget(std::int64_t nowMs) { remembered_.forget(nowMs); }

  TallyState state() const;
  /// Takes over the state of another node, and keeps what this one knows beyond it. False, and nothing is changed, if
  /// this node has settled additions that the state lacks.
  bool install(TallyState const& state);

  std::size_t recentCount() const;
  std::size_t rememberedCount() const { return remembered_.size(); }
  /// About how many bytes the state takes on a disk.
  std::size_t storedSize() const;

 private:
  /// The recent additions of an origin.
  struct OriginLog {
    std::uint64_t first = 1;  ///< number of the first recent addition; all before it are settled
    std::deque<TallyAdd> adds;
    std::uint64_t last() const { return first + adds.size() - 1; }
  };
  /// A key that a recent addition has.
  struct RecentKey {
    std::int64_t change = 0;  ///< that counts
    AddPosition position;     ///< of the addition that was known first here
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
