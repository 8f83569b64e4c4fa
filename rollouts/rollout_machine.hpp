#pragma once
#include "rollouts/version_evidence.hpp"

namespace tealshelf {

/// The stages of a rollout, as parts of the traffic that an unproved version may get, then all traffic.
struct RolloutPlan {
  vector<std::uint32_t> shares;   ///< in thousandths; the last is the whole
  double exposureFraction = 0.1;  ///< of a service's requests, that a bad version may get
  double exposureMargin = 50;     ///< requests beyond it
  /// The plan for a deployment's bounds.
  static RolloutPlan of(Bounds const& bounds);
};

/// What a decision goes by.
struct RolloutInputs {
  Ms elapsed{0};              ///< since the order
  Ms timeInStage{0};          ///< since the present record was written
  bool confirmed = false;     ///< every node in touch has the present record
  bool drained = false;       ///< and none has a request under way at a version that it excludes
  bool targetExists = false;  ///< there are workers of the target version
  VersionJudgement judgement;
};

/// The next record of a rollout, or nothing if it stays as it is; a pure function.
///
/// - A bad verdict reverts at once, in any stage, without waiting for confirmations.
/// - A stage is followed by the next only once every node in touch has confirmed it.
/// - The last step, to all traffic, waits until what is left of the term is so short that the target version can't get
///   more than its budget even if it turns out bad only then: faults may begin late.
/// - `finished` waits until no node in touch has a request under way at the old version.
/// - A version that has no workers by twice the term is reverted.
std::optional<RolloutRecord> nextRecord(RolloutRecord const& record, RolloutPlan const& plan,
                                        RolloutInputs const& inputs);

/// True if all traffic may go to the target version for the rest of the term.
bool fitsBudget(RolloutRecord const& record, RolloutPlan const& plan, RolloutInputs const& inputs);

}  // namespace tealshelf
