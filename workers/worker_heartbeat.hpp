#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// Parses the JSON body of a worker's heartbeat; throws ErrorCode::badHeartbeat.
Worker parseWorkerHeartbeat(string const& id, string const& body);

}  // namespace tealshelf
