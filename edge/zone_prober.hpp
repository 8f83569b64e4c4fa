#pragma once
#include "traffic/load_balancer.hpp"

namespace tealshelf {

/// Probes which other zones can be reached while no updates arrive, so that every node of a partitioned zone detects
/// the partition, even with few requests. Idle while updates arrive.
///
/// Runs on the io thread. Everything passed in must outlive it.
class ZoneProber {
 public:
  ZoneProber(asio::io_context& io, Settings const& settings, FleetView const& view, LoadBalancer& balancer)
      : io_(io), settings_(settings), view_(view), balancer_(balancer) {}
  void start();

 private:
  Task<void> probeLoop();
  /// One worker, chosen in turn, of each other zone whose reachability isn't known.
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
