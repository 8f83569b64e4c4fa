#include "duties/service_loads.hpp"

namespace tealshelf {

vector<ServiceLoad> serviceLoads(std::map<string, Worker> const& workers,
                                 std::function<std::int64_t(string const& worker)> const& runningAt) {
  std::map<string, double> inFlight;
  for (auto const& [id, worker] : workers) {
    std::int64_t const running = runningAt(id);
    if (running > 0) inFlight[worker.service] += static_cast<double>(running);
  }
  vector<ServiceLoad> loads;
  for (auto const& [service, requests] : inFlight) loads.push_back({service, requests, 0});
  return loads;
}

}  // namespace tealshelf
