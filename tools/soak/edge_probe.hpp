#pragma once
#include "tools/soak/operator_client.hpp"
#include "tools/soak/request_client.hpp"

namespace tealshelf::soak {

/// Requests marker routes, each of which exists in one version of the configuration only, to see which version an edge
/// applies. Within an incarnation an edge must not revert, and without faults it must not lag behind.
class EdgeProbe {
 public:
  EdgeProbe(asio::io_context& io, Cluster& cluster, OperatorClient& operators, Ledger& ledger, Verdict& verdict,
            std::uint64_t seed);
  /// Probes one edge periodically until stop().
  Task<void> watch(ClusterNode& edge);
  void stop() { stopping_ = true; }
  std::size_t callsInFlight() const { return callsInFlight_; }
  /// True if an edge serves the marker route of a version.
  Task<bool> serves(ClusterNode& edge, std::uint64_t version);

 private:
  /// Newest version that an edge served in one incarnation.
  struct ObservedVersion {
    int incarnation = 0;
    std::uint64_t version = 0;
    TimePoint at;
  };
  Task<HttpAnswer> sendProbe(ClusterNode& edge, std::uint64_t version);
  void check(ClusterNode const& edge, ObservedVersion& observed, std::uint64_t version, HttpAnswer const& answer);
  std::uint64_t drawVersion();
  /// Records each process's run queue wait when a newly acknowledged version is first seen.
  void noteNewestVersion();
  /// Text with the run queue wait since then of the edge and of the process that waited longest. It shows whether the
  /// machine was overloaded when a check failed; the check still counts as failed.
  string describeWaits(ClusterNode const& edge) const;

  asio::io_context& io_;
  Cluster& cluster_;
  OperatorClient& operators_;
  Ledger& ledger_;
  Verdict& verdict_;
  Random random_;
  std::size_t callsInFlight_ = 0;
  bool stopping_ = false;
  std::uint64_t newestVersion_ = 0;
  std::map<string, Ms> waitsAtNewest_;  ///< run queue waits by process name
};

}  // namespace tealshelf::soak
