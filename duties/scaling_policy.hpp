#pragma once
#include "configuration/configuration.hpp"
#include "duties/usage_messages.hpp"

namespace tealshelf {

/// The workers of a service in one zone.
struct ZoneWorkers {
  std::uint64_t present = 0;  ///< alive and not draining
  bool isEvacuated = false;
};

/// What an order of workers depends on.
struct ScalingInputs {
  ServiceScaling scaling;
  std::uint64_t slotsPerWorker = 0;
  std::map<string, ZoneWorkers> zones;
  ServiceLoad load;
  bool isRollingOut = false;  ///< a new version gets a part of the traffic
};

/// How many workers a service shall have in a zone.
struct ScalingOrder {
  string zone;
  std::uint64_t wanted = 0;
  bool isReduction = false;
};

/// What the policy makes of its inputs.
struct ScalingDecision {
  vector<ScalingOrder> orders;  ///< only where the number changes
  double peakDemand = 0;        ///< slots that were needed at the most, lately
  std::uint64_t minWorkers = 0,
                maxWorkers = 0;  ///< workers in each zone: fewer are too few, more are too many; 0: can't be told
  string reason;
};

/// Decides how many workers one service has in its zones; no input or output of its own.
///
/// The demand is what is at workers and what queues need beyond that, in slots. Its peak over the last moments asks for
/// a least number of workers, by the highest utilization that is borne, and for a most, by the utilization below which
/// workers stand idle. Too few are made up for at once. Too many are taken away in steps, and before the memory of the
/// demand is full only where a reserve is left. Zones that are evacuated or without any worker keep their number.
class ScalingPolicy {
 public:
  ScalingDecision decide(ScalingInputs const& inputs, TimePoint now);
  /// The platform took an order.
  void noteOrdered(ScalingOrder const& order, TimePoint now);
  /// Orders that the platform took, by zone.
  std::map<string, std::uint64_t> const& ordered() const { return ordered_; }

 private:
  struct Demand {
    TimePoint at;
    double slots = 0;
  };
  void noteDemand(double slots, Ms memory, TimePoint now);
  /// The part of the memory that is filled, from 0 to 1.
  double filledFraction(Ms memory, TimePoint now) const;
  /// The workers that a zone has or was last ordered to have.
  std::uint64_t presentIn(string const& zone, ZoneWorkers const& workers) const;
  std::optional<ScalingOrder> orderFor(string const& zone, ZoneWorkers const& workers,
                                       ScalingDecision const& decision) const;

  std::deque<Demand> demands_;
  std::optional<TimePoint> firstDemandAt_;  ///< when the first demand was seen
  std::map<string, std::uint64_t> ordered_;
  std::optional<TimePoint> reducedAt_;
};

}  // namespace tealshelf
