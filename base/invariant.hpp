#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

/// Statements that must hold at every moment, checked while the system runs.
///
/// A violation is a fault of the program, never an operating condition: it is counted and logged, and the process goes
/// on. The test program fails the test in which one occurs (tests/invariant_plugin.hpp). Called on the io thread.
namespace tealshelf {

/// What must hold. A new one goes to the end, with its name in invariant.cpp.
enum class Invariant : std::size_t {
  acceptedRecordStays,     ///< a lot's record that was committed as accepted never becomes opening again
  acceptedRecordIsKept,    ///< a lot's record is deleted only if it is ended, complete, or was never accepted
  recordStampRises,        ///< the stamp in a lot's committed record never falls
  freshStampIsNew,         ///< a stamp that is given out is above every stamp given out and the record's
  recordNamesHolders,      ///< a committed record names as many holders as it must, each once
  epochHasOneOwner,        ///< nothing is stored under an epoch but what its owner wrote
  epochNeverFalls,         ///< the epoch that a disk voted for never falls
  committedNeverGoesBack,  ///< the committed values of a keyspace stand at a position that never falls
  takeoverHoldsCommitted,  ///< a takeover begins with no less than what its node knows as committed
  membershipOverlaps,      ///< two memberships that follow each other differ by one member at the most
  sealedRecordStays,       ///< a sealed lot's record stays sealed, with the same results
  freshStampAfterCopies,   ///< survivors take a fresh stamp only once a record may name them
  count                    ///< number of invariants; not one itself
};

/// Name of an invariant in logs and metrics.
std::string_view nameOf(Invariant invariant);

/// Counts and logs a violation. The first, second, fourth, eighth and so on of an invariant is logged, so that one that
/// is broken over and over doesn't fill the log.
void reportViolation(Invariant invariant, std::string const& detail);

/// Checks an invariant. Never throws and never ends the process.
inline void checkInvariant(Invariant invariant, bool holds, std::string const& detail) {
  if (!holds) reportViolation(invariant, detail);
}

/// The same with a detail that is made only if it is needed, for paths that run often.
template <class MakeDetail, class = std::enable_if_t<std::is_invocable_r_v<std::string, MakeDetail>>>
void checkInvariant(Invariant invariant, bool holds, MakeDetail&& makeDetail) {
  if (!holds) reportViolation(invariant, std::forward<MakeDetail>(makeDetail)());
}

/// How often an invariant was violated in this process, for metrics and tests.
std::uint64_t violationsOf(Invariant invariant);
/// Violations of all invariants in this process.
std::uint64_t totalViolations();
/// Detail of the last violation, with the invariant's name; empty if there was none.
std::string lastViolation();

}  // namespace tealshelf
