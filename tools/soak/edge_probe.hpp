#pragma once
#include "tools/soak/operator_client.hpp"
#include "tools/soak/request_client.hpp"

namespace tealshelf::soak {

/// Asks edges on routes that one version of the configuration has alone, and so sees which version an edge goes by. An
/// edge must not go back within a life, nor, in calm times, lag behind.
class EdgeProbe {
 public:
  EdgeProbe(asio::io_context& io, Cluster& cluster, OperatorClient& operators, Ledger& ledger, Verdict& verdict,
            std::uint64_t seed);
  /// Asks one edge again and again until stop().
  Task<void> watch(ClusterNode& edge);
  void stop() { stopping_ = true; }
  std::size_t underWay() const { return underWay_; }
  /// True if an edge serves the route of a version.
  Task<bool> serves(ClusterNode& edge, std::uint64_t version);

 private:
  /// What an edge showed in one life.
  struct ObservedVersion {
    int incarnation = 0;
    std::uint64_t version = 0;
    TimePoint at;
  };
  Task<HttpAnswer> sendProbe(ClusterNode& edge, std::uint64_t version);
  void check(ClusterNode const& edge, ObservedVersion& observed, std::uint64_t version, HttpAnswer const& answer);
  std::uint64_t drawVersion();
  /// Notes how long each process has waited for a core when a version is first seen to be acknowledged.
  void noteNewestVersion();
  /// How long processes have waited for a core since then, the edge first, then the one that waited most. A machine
  /// that is busy with other work shows in it; it explains a failed check and excuses none.
  string describeWaits(ClusterNode const& edge) const;

  asio::io_context& io_;
  Cluster& cluster_;
  OperatorClient& operators_;
  Ledger& ledger_;
  Verdict& verdict_;
  Random random_;
  std::size_t underWay_ = 0;
  bool stopping_ = false;
  std::uint64_t newestVersion_ = 0;
  std::map<string, Ms> waitsAtNewest_;  ///< by process
};

}  // namespace tealshelf::soak
