#pragma once
#include "consensus/entries.hpp"

namespace tealshelf {

/// One node's replica of a keyspace: what it has stored, and what of that it knows as committed.
///
/// Stored entries may be uncommitted, and writes may arrive out of order. The committed values therefore advance
/// separately: write range by write range, without a gap, as far as the owner says that its writes are committed.
class KeyspaceReplica {
 public:
  /// Stores writes of an owner. REQUIRES: no higher epoch was voted for.
  void store(Epoch epoch, WriteRange const& writes);
  /// Advances the committed values to what is stored without a gap up to a position that an owner named.
  void advanceCommitted(Position committed);
  /// Owner only: takes a committed write into the committed values at once.
  void applyCommitted(Position at, bool full, Entries const& entries);
  /// Replaces everything stored by entries. They are the whole keyspace at a position, or entries of several
  /// ownerships if the position is Position().
  void reset(Position at, Entries const& entries);
  /// Joins stored ranges that follow each other, so that their number stays bounded.
  void mergeAdjacentRanges();

  /// True if the entries are exactly what one ownership wrote up to applied().
  bool isComplete() const;
  Entries const& entries() const { return entries_; }
  /// The last write that is stored without a gap.
  Position applied() const { return {appliedEpoch_, appliedSequence_}; }
  Values const& committedValues() const { return committedValues_; }
  /// The write that the committed values stand at; Position() if nothing is known as committed yet.
  Position committedAt() const { return committedAt_; }

 private:
  friend struct ConsensusProbe;  ///< of the tests: compares states by their content

  void insertRange(WriteRange range);
  void advanceApplied();

  Entries entries_;
  Epoch appliedEpoch_;
  std::uint64_t appliedSequence_ = 0;
  Values committedValues_;
  Position committedAt_;
  Position announcedCommitted_;                 ///< how far the newest owner heard of has committed
  Epoch storedEpoch_;                           ///< of the ranges
  std::map<std::uint64_t, WriteRange> ranges_;  ///< stored and not yet in the committed values, by their last write
};

}  // namespace tealshelf
