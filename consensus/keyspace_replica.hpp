#pragma once
#include "consensus/entries.hpp"

namespace tealshelf {

/// One node's replica of a keyspace: the stored entries, and the values that are known to be committed.
///
/// Stored entries may be uncommitted, and writes may arrive out of order. The committed values therefore advance
/// separately: one write range after the other, without a gap, up to the position that the owner reports as committed.
class KeyspaceReplica {
 public:
  /// Stores writes of an owner. REQUIRES: this node voted for no higher epoch.
  void store(Epoch epoch, WriteRange const& writes);
  /// Advances the committed values to a position that an owner reported, or as far as the stored writes have no gap.
  void advanceCommitted(Position committed);
  /// Applies a committed write to the committed values. Called directly only by the owner.
  void applyCommitted(Position at, bool full, Entries const& entries);
  /// Replaces the stored entries. The new ones are the whole keyspace at a position, or come from several ownerships
  /// if the position is Position().
  void reset(Position at, Entries const& entries);
  /// Merges stored ranges that have no gap between them, to bound their number.
  void mergeAdjacentRanges();

  /// True if the entries are exactly those that one ownership wrote up to applied().
  bool isComplete() const;
  Entries const& entries() const { return entries_; }
  /// The last write up to which all writes are stored.
  Position applied() const { return {appliedEpoch_, appliedSequence_}; }
  Values const& committedValues() const { return committedValues_; }
  /// The last write included in the committed values; Position() if none is known to be committed.
  Position committedAt() const { return committedAt_; }

 private:
  friend struct ConsensusProbe;  ///< in the tests: compares states by their content

  void insertRange(WriteRange range);
  void advanceApplied();

  Entries entries_;
  Epoch appliedEpoch_;
  std::uint64_t appliedSequence_ = 0;
  Values committedValues_;
  Position committedAt_;
  Position announcedCommitted_;                 ///< the highest committed position that an owner reported
  Epoch storedEpoch_;                           ///< the epoch of all ranges
  std::map<std::uint64_t, WriteRange> ranges_;  ///< stored, not yet in the committed values; by last write
};

}  // namespace tealshelf
