#pragma once
#include "duties/usage_messages.hpp"
#include "fleet/nodes.hpp"

namespace tealshelf {

/// The requests in flight at the workers of each service, from the number in flight at each worker.
vector<ServiceLoad> serviceLoads(std::map<string, Worker> const& workers,
                                 std::function<std::int64_t(string const& worker)> const& runningAt);

}  // namespace tealshelf
