#pragma once
#include "rollouts/version_evidence.hpp"

namespace tealshelf {

/// The stages of a rollout: small shares of the traffic while the version is unproven, then all traffic.
struct RolloutPlan {
  vector<std::uint32_t> shares;   ///< of traffic by stage, in thousandths; the last is all
  double exposureFraction = 0.1;  ///< fraction of a service's requests that a bad version may get
  double exposureMargin = 50;     ///< requests that it may get beyond that fraction
  static RolloutPlan of(Bounds const& bounds);
};

/// The inputs of a decision about a rollout.
struct RolloutInputs {
  Ms elapsed{0};              ///< since the order
  Ms timeInStage{0};          ///< since the current record was written
  bool confirmed = false;     ///< every live node has the current record
  bool drained = false;       ///< and has no request in flight at a version that the record excludes
  bool targetExists = false;  ///< the target version has workers
  VersionJudgement judgement;
};

/// The next record of a rollout, or nothing if it stays as it is. A pure function.
///
/// - A bad verdict reverts at once, in any stage, without waiting for confirmations.
/// - The next stage begins only once every live node has confirmed the current one.
/// - The last stage, with all traffic, waits until so little time is left that the target version stays within its
///   exposure budget even if faults begin only then.
/// - `finished` waits until no live node has a request in flight at the old version.
/// - A version that has no workers after twice the rollout's duration is reverted.
std::optional<RolloutRecord> nextRecord(RolloutRecord const& record, RolloutPlan const& plan,
                                        RolloutInputs const& inputs);

/// True if all traffic of the remaining time may go to the target version within its exposure budget.
bool fitsBudget(RolloutRecord const& record, RolloutPlan const& plan, RolloutInputs const& inputs);

}  // namespace tealshelf
