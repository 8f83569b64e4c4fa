#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/random.hpp"

namespace tealshelf::soak {

/// Applications that add to tallies and read them at the control nodes, on both sides of network partitions.
///
/// Checks that a read never returns more than was added (TWICE) or less than the same process acknowledged (STALE), and
/// that at the end all control nodes return the same total with all acknowledged additions (LOST).
class TallyClient {
 public:
  TallyClient(asio::io_context& io, Cluster& cluster, Verdict& verdict, std::uint64_t seed)
      : io_(io), cluster_(cluster), verdict_(verdict), random_(seed, "tallies") {}
  /// Acts as an application in a zone until stop().
  Task<void> runInZone(string zone);
  void stop() { stopping_ = true; }
  std::size_t callsInFlight() const { return callsInFlight_; }
  /// Compares the totals of all control nodes with the additions.
  Task<void> checkAtEnd(TimePoint until);
  /// For the self-test: records an acknowledged addition that was never sent; returns the tally's name.
  string pretendAcknowledged();

 private:
  struct Acknowledgement {
    ClusterNode* by = nullptr;
    int incarnation = 0;
    TimePoint at;
    bool mayBeUnderReplicated = false;  ///< too few nodes may have been reachable for all replicas
  };
  struct Addition {
    string tally, id;
    std::int64_t change = 0;
    bool mayCount = false;  ///< an attempt ended without a guarantee that nothing was added
    std::optional<Acknowledgement> acknowledged;
  };

  Task<void> addOnce(string zone);
  Task<HttpAnswer> post(Addition const& addition, ClusterNode& control);
  /// Reads the total at a node; nothing if the read fails.
  Task<std::optional<std::int64_t>> read(ClusterNode& control, string tally);
  Task<void> readOnce(string zone);
  /// Picks a random control node, most often one in the zone.
  ClusterNode& drawControl(string const& zone);
  std::int64_t maxTotalOf(string const& tally) const;
  std::int64_t acknowledgedTotalBy(ClusterNode const& control, string const& tally) const;
  std::int64_t guaranteedTotalOf(string const& tally) const;
  bool isReplicationDoubtful() const;
  /// Reads a tally at all control nodes and describes the first wrong total; empty if all are right.
  Task<string> describeMismatch(string tally);

  asio::io_context& io_;
  Cluster& cluster_;
  Verdict& verdict_;
  Random random_;
  std::deque<Addition> additions_;
  std::set<string> tallies_;
  std::size_t callsInFlight_ = 0;
  bool stopping_ = false;
};

}  // namespace tealshelf::soak
