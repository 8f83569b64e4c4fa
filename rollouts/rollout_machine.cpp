#include "rollouts/rollout_machine.hpp"

#include <sstream>

namespace tealshelf {

namespace {
/// Shares of the first two stages, as fractions of Bounds::exposureFraction.
constexpr double firstShare = 0.15, secondShare = 0.3;
/// Fractions of the exposure budget that the last stage may use; the rest is for requests that aren't counted yet.
constexpr double usedExposureFraction = 0.85, usedExposureMargin = 0.5;
/// A stage lasts at least the rollout's duration divided by this.
constexpr int minStageDivisor = 20;
/// A rollout without a worker of the target version is reverted after so many times its duration.
constexpr int maxDurationsWithoutTarget = 2;

std::uint32_t toThousandths(double part) {
  return static_cast<std::uint32_t>(std::clamp(part * fullShare, 1.0, 1.0 * fullShare));
}

RolloutRecord changed(RolloutRecord record, RolloutInputs const& inputs, string reason) {
  record.elapsedMs = inputs.elapsed.count();
  record.reason = std::move(reason);
  return record;
}

RolloutRecord ended(RolloutRecord const& record, RolloutInputs const& inputs, RolloutState state, string reason) {
  RolloutRecord next = changed(record, inputs, std::move(reason));
  next.state = state;
  next.share = state == RolloutState::finished ? fullShare : 0;
  return next;
}

RolloutRecord atStage(RolloutRecord const& record, RolloutPlan const& plan, RolloutInputs const& inputs,
                      std::uint64_t stage, string reason) {
  RolloutRecord next = changed(record, inputs, std::move(reason));
  next.stage = stage;
  next.share = plan.shares.at(stage);
  return next;
}

string trafficSummary(RolloutInputs const& inputs) {
  std::ostringstream text;
  text << inputs.judgement.sentToTarget << " of " << inputs.judgement.sentTotal << " requests went to the new version";
  return text.str();
}
}  // namespace

RolloutPlan RolloutPlan::of(Bounds const& bounds) {
  RolloutPlan plan;
  plan.exposureFraction = bounds.exposureFraction;
  plan.exposureMargin = bounds.exposureMargin;
  plan.shares = {toThousandths(firstShare * bounds.exposureFraction),
                 toThousandths(secondShare * bounds.exposureFraction), fullShare};
  return plan;
}

bool fitsBudget(RolloutRecord const& record, RolloutPlan const& plan, RolloutInputs const& inputs) {
  Ms const left = Ms(record.durationMs) - inputs.elapsed;
  if (left <= Ms(0)) return true;
  double const elapsedMs = std::max(1.0, static_cast<double>(inputs.elapsed.count()));
  double const remaining = inputs.judgement.sentTotal / elapsedMs * static_cast<double>(left.count());
  double const exposed = inputs.judgement.sentToTarget + remaining;
  double const budget = usedExposureFraction * plan.exposureFraction * (inputs.judgement.sentTotal + remaining) +
                        usedExposureMargin * plan.exposureMargin;
  return exposed <= budget;
}

std::optional<RolloutRecord> nextRecord(RolloutRecord const& record, RolloutPlan const& plan,
                                        RolloutInputs const& inputs) {
  if (!record.isServing()) return std::nullopt;
  if (inputs.judgement.verdict == VersionVerdict::bad)
    return ended(record, inputs, RolloutState::reverted, inputs.judgement.reason);
  std::uint64_t const lastStage = plan.shares.size() - 1;
  if (record.stage >= lastStage) {
    if (!inputs.confirmed || !inputs.drained) return std::nullopt;
    return ended(record, inputs, RolloutState::finished, "nothing goes to or runs at the old version");
  }
  bool const isLate = inputs.elapsed > maxDurationsWithoutTarget * Ms(record.durationMs);
  if (!inputs.targetExists) {
    if (!isLate) return std::nullopt;
    return ended(record, inputs, RolloutState::reverted, "no worker has the new version");
  }
  if (!inputs.confirmed) return std::nullopt;
  if (fitsBudget(record, plan, inputs)) return atStage(record, plan, inputs, lastStage, trafficSummary(inputs));
  bool const lastedLongEnough = inputs.timeInStage >= Ms(record.durationMs / minStageDivisor);
  if (record.stage + 1 >= lastStage || !lastedLongEnough) return std::nullopt;
  return atStage(record, plan, inputs, record.stage + 1, trafficSummary(inputs));
}

}  // namespace tealshelf
