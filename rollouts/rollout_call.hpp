#pragma once
#include "rollouts/rollout_record.hpp"

namespace tealshelf {

/// An order to move a service's traffic to workers of another version.
struct RolloutOrder {
  string service, target;
  Ms over{0};
};

/// Reads the body of `POST /rollouts`; throws ErrorCode::badRollout if it can't be read or a field is out of its range.
RolloutOrder parseRolloutOrder(string const& body);

/// What becomes of an order.
struct OrderDecision {
  enum class Kind { acknowledge, write, refuse } kind = Kind::acknowledge;
  RolloutRecord record;  ///< to be written, without its revision
  ErrorCode code = ErrorCode::rolloutUnderWay;
};

/// Decides on an order by the record of the service, if there is one:
/// - The same order again, while it is carried out or once it has ended, is acknowledged and changes nothing.
/// - After a revert, the same order is a new one once its term and the time for repeats are over.
/// - An order back to the old version while a rollout runs reverts it.
/// - Any other order while one runs is refused.
/// `serving` is the version that serves now, `elapsed` the time since the order of the record.
OrderDecision decideOrder(std::optional<RolloutRecord> const& present, RolloutOrder const& order, string const& serving,
                          Ms elapsed, Ms repeatGrace);

}  // namespace tealshelf
