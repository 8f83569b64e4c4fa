#pragma once
#include "fleet/nodes.hpp"

/// The rollout of a new version of a service, as the control plane records it and all nodes are told.
namespace tealshelf {

enum class RolloutState : int {
  serving = 0,   ///< traffic moves in stages
  finished = 1,  ///< all traffic goes to the target version
  reverted = 2   ///< none goes to it
};

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::RolloutState)
namespace tealshelf {

/// Shares are told in thousandths of a service's traffic.
constexpr std::uint32_t fullShare = 1000;

struct RolloutRecord {
  string service, target;
  string stable;  ///< the version that served when the order came; "" if there was none
  RolloutState state = RolloutState::serving;
  std::uint64_t stage = 0;       ///< number in the plan of stages
  std::uint32_t share = 0;       ///< of the target version, in thousandths
  std::uint64_t order = 0;       ///< revision of the record with which this rollout began
  std::uint64_t revision = 0;    ///< rises with each change of any service's record
  std::int64_t durationMs = 0;   ///< the term, from the order
  std::int64_t elapsedMs = 0;    ///< since the order, when this record was written
  std::int64_t orderedAtMs = 0;  ///< by the time of day of the owner that took the order
  string reason;                 ///< why the last change was made
  bool isServing() const { return state == RolloutState::serving; }
  /// True if the old version gets nothing any more.
  bool servesOnlyTarget() const { return state == RolloutState::finished || (isServing() && share >= fullShare); }
  MSGPACK_DEFINE(service, target, stable, state, stage, share, order, revision, durationMs, elapsedMs, orderedAtMs,
                 reason)
};

/// "serving", "finished" or "reverted".
string_view nameOf(RolloutState state);

/// The answer to `GET /rollouts/SERVICE`.
string rolloutAsJson(RolloutRecord const& record);

}  // namespace tealshelf
