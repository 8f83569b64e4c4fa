#include "duties/scaling_policy.hpp"

namespace tealshelf {

namespace {
/// Utilization of the slots at peak demand: above the maximum workers are added, below the minimum they are removed.
constexpr double maxUtilization = 0.9, minUtilization = 0.65;
/// The length of the demand window in start times of a worker, and the number of reductions allowed in one start time.
constexpr int demandWindowStartTimes = 3, reductionsPerStartTime = 1;
/// Fraction of the demand window that must be filled before workers are removed.
constexpr double minFilledFraction = 0.3;
/// Reserve added to the peak while the demand window is empty, as a fraction of the peak.
constexpr double reserveWithoutHistory = 0.75;
constexpr Ms minStartTime{1000};
/// Fraction of a zone's workers that may be removed at once.
constexpr double maxReductionFraction = 0.25;

std::uint64_t workersFor(double demand, double slots, ServiceScaling const& scaling) {
  std::uint64_t const needed = static_cast<std::uint64_t>(std::ceil(demand / slots));
  return std::clamp(needed, scaling.lowest, scaling.highest);
}
}  // namespace

void ScalingPolicy::recordDemand(double slots, Ms window, TimePoint now) {
  if (slots > 0 && !firstDemandAt_) firstDemandAt_ = now;
  demands_.push_back({now, slots});
  while (now - demands_.front().at > window) demands_.pop_front();
}

double ScalingPolicy::filledFraction(Ms window, TimePoint now) const {
  if (!firstDemandAt_) return 0;
  double const observed = static_cast<double>(std::chrono::duration_cast<Ms>(now - *firstDemandAt_).count());
  return std::min(1.0, observed / static_cast<double>(window.count()));
}

std::uint64_t ScalingPolicy::presentIn(string const& zone, ZoneWorkers const& workers) const {
  auto const known = ordered_.find(zone);
  return known == ordered_.end() ? workers.present : known->second;
}

std::optional<ScalingOrder> ScalingPolicy::orderFor(string const& zone, ZoneWorkers const& workers,
                                                    ScalingDecision const& decision) const {
  std::uint64_t const present = presentIn(zone, workers);
  if (present < decision.minWorkers) return ScalingOrder{zone, decision.minWorkers, false};
  if (present <= decision.maxWorkers) return std::nullopt;
  std::uint64_t const step =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(static_cast<double>(present) * maxReductionFraction));
  return ScalingOrder{zone, std::max(decision.maxWorkers, present - step), true};
}

ScalingDecision ScalingPolicy::decide(ScalingInputs const& inputs, TimePoint now) {
  Ms const startTime = std::max(inputs.scaling.startTime, minStartTime);
  Ms const window = demandWindowStartTimes * startTime;
  recordDemand(inputs.load.inFlight + inputs.load.backlog, window, now);
  ScalingDecision decision;
  for (Demand const& demand : demands_) decision.peakDemand = std::max(decision.peakDemand, demand.slots);
  vector<string> zones;
  for (auto const& [zone, workers] : inputs.zones)
    if (workers.present && !workers.isEvacuated) zones.push_back(zone);
  if (!inputs.scaling.isUsable() || !inputs.slotsPerWorker || zones.empty()) {
    decision.reason = "no range, no slots or no worker";
    return decision;
  }
  double const slots = static_cast<double>(inputs.slotsPerWorker * zones.size());
  double const filled = filledFraction(window, now);
  double const demandWithReserve = decision.peakDemand * (1 + reserveWithoutHistory * (1 - filled));
  decision.minWorkers = workersFor(decision.peakDemand, slots * maxUtilization, inputs.scaling);
  decision.maxWorkers =
      std::max(decision.minWorkers, workersFor(demandWithReserve, slots * minUtilization, inputs.scaling));
  // Before the first demand the registry of workers may still be incomplete.
  if (!firstDemandAt_) decision.reason = "no demand was seen yet";
  if (inputs.isRollingOut) decision.reason = "a rollout is under way";
  if (!firstDemandAt_ || inputs.isRollingOut) return decision;
  bool const cooldownHasPassed = !reducedAt_ || now - *reducedAt_ >= startTime / reductionsPerStartTime;
  bool const mayReduce = filled >= minFilledFraction && cooldownHasPassed;
  decision.reason = mayReduce ? "by demand" : "by demand, no reduction yet";
  for (string const& zone : zones) {
    std::optional<ScalingOrder> order = orderFor(zone, inputs.zones.at(zone), decision);
    if (order && (mayReduce || !order->isReduction)) decision.orders.push_back(std::move(*order));
  }
  return decision;
}

void ScalingPolicy::noteOrdered(ScalingOrder const& order, TimePoint now) {
  if (order.isReduction) reducedAt_ = now;
  ordered_[order.zone] = order.wanted;
}

}  // namespace tealshelf
