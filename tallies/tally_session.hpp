#pragma once
#include "tallies/tally_add.hpp"

namespace tealshelf {

/// What the nodes that keep tallies have of the additions that a session requires, as one round of reads told it.
struct TallySurvey {
  VersionVector required;  ///< what was asked for
  VersionVector known;     ///< the largest sequence numbers that any node has
  bool isComplete = true;  ///< all members answered
  bool hasAnswer = false;  ///< at least one member answered

  /// Adds what one node has. Origins that it doesn't mention count as unknown to it.
  void add(VersionVector const& nodeKnows);
};

/// Read your writes for the callers of one process: a read includes every addition that this process acknowledged since
/// it started, whichever node counted it (Terry et al., "Session Guarantees for Weakly Consistent Replicated Data",
/// 1994). Does no I/O.
///
/// Keeps one sequence number for each origin. A table that has all of them includes all acknowledged additions, so
/// every answer to a caller is checked against them, from the own table as well as from another node's.
class TallySession {
 public:
  /// An addition that all members lack for `lossTimeout`, although they answer, counts as lost.
  explicit TallySession(Ms lossTimeout) : lossTimeout_(lossTimeout) {}

  /// Records acknowledged additions: those that a table with these sequence numbers includes.
  void noteAcknowledged(VersionVector const& additions);
  /// What an answer must include.
  VersionVector const& required() const { return required_; }
  /// Records that a node has all that was required.
  void noteMet() { missing_.clear(); }
  /// Records a round of reads in which no node had all that was required. No longer requires additions that all disks
  /// lost; returns the number of their origins.
  std::size_t noteUnmet(TallySurvey const& survey, TimePoint now);

 private:
  /// An origin of which all members lack required additions.
  struct Missing {
    std::uint64_t present = 0;  ///< the largest sequence number that a node has
    TimePoint since;            ///< no node has received more since then
  };

  Ms lossTimeout_;
  VersionVector required_;
  std::map<OriginId, Missing> missing_;
};

}  // namespace tealshelf
