#pragma once
#include "fleet/nodes.hpp"

/// The rollout of a new version of a service, as the control plane records it and publishes it to all nodes.
namespace tealshelf {

enum class RolloutState : int {
  serving = 0,   ///< in progress: traffic moves to the target version in stages
  finished = 1,  ///< all traffic goes to the target version
  reverted = 2   ///< no traffic goes to the target version
};

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::RolloutState)
namespace tealshelf {

/// All of a service's traffic; shares are in thousandths of it.
constexpr std::uint32_t fullShare = 1000;

struct RolloutRecord {
  string service, target;
  string stable;  ///< the version that served before the rollout; "" if there was none
  RolloutState state = RolloutState::serving;
  std::uint64_t stage = 0;       ///< index into RolloutPlan::shares
  std::uint32_t share = 0;       ///< of traffic that goes to the target version, in thousandths
  std::uint64_t order = 0;       ///< id of the rollout: the revision of its first record
  std::uint64_t revision = 0;    ///< increases with each change of any service's record
  std::int64_t durationMs = 0;   ///< time ordered for the whole rollout
  std::int64_t elapsedMs = 0;    ///< from the order until this record was written
  std::int64_t orderedAtMs = 0;  ///< wall-clock time at the owner that accepted the order
  string reason;                 ///< of the last change
  bool isServing() const { return state == RolloutState::serving; }
  /// True if the old version no longer gets traffic.
  bool servesOnlyTarget() const { return state == RolloutState::finished || (isServing() && share >= fullShare); }
  MSGPACK_DEFINE(service, target, stable, state, stage, share, order, revision, durationMs, elapsedMs, orderedAtMs,
                 reason)
};

/// "serving", "finished" or "reverted".
string_view nameOf(RolloutState state);

/// The response body of `GET /rollouts/SERVICE`.
string rolloutAsJson(RolloutRecord const& record);

}  // namespace tealshelf
