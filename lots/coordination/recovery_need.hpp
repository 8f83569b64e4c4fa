#pragma once
#include "base/tealshelf.hpp"

/// Why a lot's record or holders must change, and how an attempt to change them ended.
namespace tealshelf {

/// What a coordinator must do for a lot, the most urgent first.
enum class RecoveryNeed {
  serve,      ///< it may have no primary that runs it and answers reads
  seal,       ///< all its results are listed
  replicate,  ///< it has too few copies to survive the next loss
  spare,      ///< an optional copy beyond the needed ones is missing
  trim,       ///< a spare copy takes room that other lots need
  none
};
std::string_view nameOf(RecoveryNeed need);

/// How an attempt ended; all outcomes but `done` are retried. The replicas that the record names stay readable until
/// they are settled. A new record may be committed after `done`, `tooFewStores` and `copiesRefused`, or unnoticed after
/// `recordNotWritten`; all other outcomes leave the record unchanged.
enum class RecoveryOutcome {
  none,              ///< not attempted yet
  done,              ///< the record is committed, or nothing had to change
  notOwner,          ///< another control node owns the keyspace
  busy,              ///< the lock for changes of the record wasn't obtained in time
  recordChanged,     ///< the record changed in the meantime
  noLiveHolder,      ///< no holder has sent a recent heartbeat
  primaryNotFenced,  ///< the lease of the former primary may still be valid
  noIntactReplica,   ///< no live holder has a replica at or above the recorded stamp
  tooFewStores,      ///< too few live stores have room for the needed copies
  copiesRefused,     ///< stores refused copies
  notSettled,        ///< too few survivors took the fresh stamp
  recordNotWritten   ///< no majority acknowledged the record in time
};
std::string_view nameOf(RecoveryOutcome outcome);

}  // namespace tealshelf
