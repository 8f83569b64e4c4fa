#pragma once
#include "traffic/load_balancer.hpp"

namespace tealshelf {

/// Finds out which other zones can be reached while no updates come, so that each node of a zone that is cut off knows
/// it, those with few requests too. While updates come it does nothing.
///
/// Runs on the io thread. Everything passed in must outlive it.
class ZoneProber {
 public:
  ZoneProber(asio::io_context& io, Settings const& settings, FleetView const& view, LoadBalancer& balancer)
      : io_(io), settings_(settings), view_(view), balancer_(balancer) {}
  void start();

 private:
  Task<void> probeLoop();
  /// A worker of each other zone of which nothing is known lately, another one each time.
  vector<Worker> candidates();
  Task<void> probe(Worker worker);

  asio::io_context& io_;
  Settings const& settings_;
  FleetView const& view_;
  LoadBalancer& balancer_;
  std::uint64_t roundRobin_ = randomId();
  std::map<string, TimePoint> reachedAt_;  ///< by zone
};

}  // namespace tealshelf
