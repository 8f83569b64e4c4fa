#pragma once
#include "control/capacity_controller.hpp"
#include "control/usage_collector.hpp"

namespace tealshelf {

/// Status page of the duties at the platform as one control node sees them, as a JSON text.
string dutyReport(Settings const& settings, DutyHolder const& duties, UsageCollector const& usage,
                  CapacityController const& capacity);

}  // namespace tealshelf
