#include "lots/coordination/recovery_need.hpp"

namespace tealshelf {

std::string_view nameOf(RecoveryNeed need) {
  switch (need) {
    case RecoveryNeed::serve:
      return "serve";
    case RecoveryNeed::seal:
      return "seal";
    case RecoveryNeed::replicate:
      return "replicate";
    case RecoveryNeed::spare:
      return "spare";
    case RecoveryNeed::trim:
      return "trim";
    case RecoveryNeed::none:
      return "none";
  }
  return "unknown";
}

std::string_view nameOf(RecoveryOutcome outcome) {
  switch (outcome) {
    case RecoveryOutcome::none:
      return "not tried";
    case RecoveryOutcome::done:
      return "done";
    case RecoveryOutcome::notOwner:
      return "not the owner";
    case RecoveryOutcome::busy:
      return "another change took too long";
    case RecoveryOutcome::recordChanged:
      return "the record changed meanwhile";
    case RecoveryOutcome::noLiveHolder:
      return "no live holder";
    case RecoveryOutcome::primaryNotFenced:
      return "the former primary isn't fenced";
    case RecoveryOutcome::noIntactReplica:
      return "no intact replica at a live holder";
    case RecoveryOutcome::tooFewStores:
      return "too few stores with room";
    case RecoveryOutcome::copiesRefused:
      return "copies were refused";
    case RecoveryOutcome::notSettled:
      return "too few took the fresh stamp";
    case RecoveryOutcome::recordNotWritten:
      return "the record was not written";
  }
  return "unknown";
}

}  // namespace tealshelf
