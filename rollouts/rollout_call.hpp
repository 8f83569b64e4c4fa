#pragma once
#include "rollouts/rollout_record.hpp"

namespace tealshelf {

/// An order to move a service's traffic to workers of another version.
struct RolloutOrder {
  string service, target;
  Ms duration{0};
};

/// Parses the body of `POST /rollouts`; throws ErrorCode::badRollout if it is malformed or a field is out of range.
RolloutOrder parseRolloutOrder(string const& body);

/// How an order is handled.
struct OrderDecision {
  enum class Kind { acknowledge, write, refuse } kind = Kind::acknowledge;
  RolloutRecord record;  ///< to write, without its revision
  ErrorCode code = ErrorCode::rolloutUnderWay;
};

/// Decides how to handle an order, by the record of the service's last rollout, if there is one:
/// - A repeated order is acknowledged without effect, while the rollout is in progress and after it.
/// - After a revert, the same order starts a new rollout once the duration of the old one and `repeatGrace` are over.
/// - An order of the old version while a rollout is in progress reverts it.
/// - Any other order while a rollout is in progress is refused.
/// `currentVersion` is the version that serves now, `elapsed` the time since the order of the record.
OrderDecision decideOrder(std::optional<RolloutRecord> const& present, RolloutOrder const& order,
                          string const& currentVersion, Ms elapsed, Ms repeatGrace);

}  // namespace tealshelf
