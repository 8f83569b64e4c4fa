#pragma once
#include "control/capacity_controller.hpp"
#include "control/usage_collector.hpp"

namespace tealshelf {

/// The duties at the platform as one control node has them, as a JSON text for those on call.
string dutyReport(Settings const& settings, DutyHolder const& duties, UsageCollector const& usage,
                  CapacityController const& capacity);

}  // namespace tealshelf
