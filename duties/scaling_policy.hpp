#pragma once
#include "configuration/configuration.hpp"
#include "duties/usage_messages.hpp"

namespace tealshelf {

/// The workers of a service in one zone.
struct ZoneWorkers {
  std::uint64_t present = 0;  ///< alive and not draining
  bool isEvacuated = false;
};

/// The inputs of a scaling decision.
struct ScalingInputs {
  ServiceScaling scaling;
  std::uint64_t slotsPerWorker = 0;
  std::map<string, ZoneWorkers> zones;
  ServiceLoad load;
  bool isRollingOut = false;  ///< a new version gets a share of the traffic
};

/// An order to the platform: the number of workers that a service should have in a zone.
struct ScalingOrder {
  string zone;
  std::uint64_t wanted = 0;
  bool isReduction = false;
};

/// The policy's decision for one service.
struct ScalingDecision {
  vector<ScalingOrder> orders;  ///< only where the number changes
  double peakDemand = 0;        ///< highest demand in the demand window, in slots
  /// The accepted range of the number of workers in each zone; 0: it can't be determined.
  std::uint64_t minWorkers = 0, maxWorkers = 0;
  string reason;
};

/// Decides how many workers one service should have in its zones; does no I/O.
///
/// The demand is the number of slots in use plus those that queues need beyond them. Its peak over the demand window
/// gives a minimum number of workers, by the maximum utilization, and a maximum, by the minimum utilization. Missing
/// workers are ordered at once. Surplus workers are removed in steps; while the demand window isn't full, a reserve is
/// kept. Zones that are evacuated or have no worker keep their number.
class ScalingPolicy {
 public:
  ScalingDecision decide(ScalingInputs const& inputs, TimePoint now);
  /// Called when the platform has accepted an order.
  void noteOrdered(ScalingOrder const& order, TimePoint now);
  /// The last accepted number of workers, by zone.
  std::map<string, std::uint64_t> const& ordered() const { return ordered_; }

 private:
  struct Demand {
    TimePoint at;
    double slots = 0;
  };
  void recordDemand(double slots, Ms window, TimePoint now);
  /// The fraction of the demand window that observations cover, from 0 to 1.
  double filledFraction(Ms window, TimePoint now) const;
  /// The number of workers that was last ordered for a zone, or else that it has.
  std::uint64_t presentIn(string const& zone, ZoneWorkers const& workers) const;
  std::optional<ScalingOrder> orderFor(string const& zone, ZoneWorkers const& workers,
                                       ScalingDecision const& decision) const;

  std::deque<Demand> demands_;
  std::optional<TimePoint> firstDemandAt_;  ///< when the first demand was observed
  std::map<string, std::uint64_t> ordered_;
  std::optional<TimePoint> reducedAt_;
};

}  // namespace tealshelf
