#pragma once
#include "base/tealshelf.hpp"

/// Why a lot's record or holders must change, and how a try to do it ended.
namespace tealshelf {

/// The kinds of work that a coordinator does on a lot, the most urgent first.
enum class RecoveryNeed {
  serve,      ///< nobody runs it or answers its reads
  seal,       ///< all that it will ever list is listed
  replicate,  ///< it would not bear the next loss
  spare,      ///< one more copy is wished for
  trim,       ///< a spare copy takes room that others need
  none
};
std::string_view nameOf(RecoveryNeed need);

/// How a try ended. Everything but `done` leaves the record as it was, and what it names stays readable.
enum class RecoveryOutcome {
  none,              ///< not tried yet
  done,              ///< the record is written, or nothing had to change
  notOwner,          ///< another control node owns the keyspace by now
  busy,              ///< another change of the record took too long
  recordChanged,     ///< the record changed meanwhile
  noLiveHolder,      ///< no holder was heard lately
  primaryNotFenced,  ///< the lease of the former primary may still count
  noIntactReplica,   ///< no live holder has a replica at or above the recorded stamp
  tooFewStores,      ///< too few live stores with room for the copies that are needed
  copiesRefused,     ///< the copies that are needed were refused
  notSettled,        ///< too few survivors took the fresh stamp
  recordNotWritten   ///< no majority acknowledged the record in time
};
std::string_view nameOf(RecoveryOutcome outcome);

}  // namespace tealshelf
