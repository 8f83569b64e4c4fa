#pragma once
#include "duties/usage_messages.hpp"
#include "fleet/nodes.hpp"

namespace tealshelf {

/// What is at the workers of each service, by how many requests are under way at each worker.
vector<ServiceLoad> serviceLoads(std::map<string, Worker> const& workers,
                                 std::function<std::int64_t(string const& worker)> const& runningAt);

}  // namespace tealshelf
