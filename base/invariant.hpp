#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

/// Invariants that are checked at run time.
///
/// A violation is a bug, never an operating condition: it is counted and logged, and the process continues. The test
/// program fails the test in which one occurs (tests/invariant_plugin.hpp). Called on the io thread.
namespace tealshelf {

/// The checked invariants. New ones are added at the end, with their names in invariant.cpp.
enum class Invariant : std::size_t {
  acceptedRecordStays,     ///< a lot record that was committed as accepted never returns to opening
  acceptedRecordIsKept,    ///< a lot record is deleted only if the lot ended, is complete, or was never accepted
  recordStampRises,        ///< the stamp in a committed lot record never decreases
  freshStampIsNew,         ///< an issued stamp is above the record's stamp and all issued before
  recordNamesHolders,      ///< a committed record names the required number of holders, all distinct
  epochHasOneOwner,        ///< only the owner of an epoch writes entries under it
  epochNeverFalls,         ///< the epoch that a node's disk voted for never decreases
  committedNeverGoesBack,  ///< the commit position of a keyspace never decreases
  takeoverHoldsCommitted,  ///< a takeover starts with at least what its node knows as committed
  membershipOverlaps,      ///< consecutive memberships differ by at most one member
  sealedRecordStays,       ///< a sealed lot's record stays sealed, with the same results
  freshStampAfterCopies,   ///< surviving replicas get a fresh stamp only once a record may name them
  count                    ///< number of invariants, not an invariant
};

/// Name of an invariant in logs and metrics.
std::string_view nameOf(Invariant invariant);

/// Counts and logs a violation. Only the violations 1, 2, 4, 8 and so on of an invariant are logged, so that a repeated
/// one doesn't fill the log.
void reportViolation(Invariant invariant, std::string const& detail);

/// Checks an invariant. Never throws and never ends the process.
inline void checkInvariant(Invariant invariant, bool holds, std::string const& detail) {
  if (!holds) reportViolation(invariant, detail);
}

/// The same with a detail that is built only for a violation, for hot paths.
template <class MakeDetail, class = std::enable_if_t<std::is_invocable_r_v<std::string, MakeDetail>>>
void checkInvariant(Invariant invariant, bool holds, MakeDetail&& makeDetail) {
  if (!holds) reportViolation(invariant, std::forward<MakeDetail>(makeDetail)());
}

/// How often an invariant was violated in this process, for metrics and tests.
std::uint64_t violationsOf(Invariant invariant);
/// Number of violations of all invariants in this process.
std::uint64_t totalViolations();
/// Detail of the last violation, with the invariant's name; empty if there was none.
std::string lastViolation();

}  // namespace tealshelf
