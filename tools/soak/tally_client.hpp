#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/random.hpp"

namespace tealshelf::soak {

/// Applications that add to tallies and read them at the control nodes, on both sides of cuts.
///
/// Checked: a read never tells more than was added (TWICE), nor less than the same process acknowledged (STALE); at the
/// end all control nodes tell the same, with all that was acknowledged (LOST).
class TallyClient {
 public:
  TallyClient(asio::io_context& io, Cluster& cluster, Verdict& verdict, std::uint64_t seed)
      : io_(io), cluster_(cluster), verdict_(verdict), random_(seed, "tallies") {}
  /// Calls as the applications of one zone do, until stop().
  Task<void> callFrom(string zone);
  void stop() { stopping_ = true; }
  std::size_t underWay() const { return underWay_; }
  /// Compares the totals of all control nodes with what was added.
  Task<void> checkAtEnd(TimePoint until);
  /// Takes an addition for acknowledged that never was sent; its tally's name.
  string pretendAcknowledged();

 private:
  struct Acknowledgement {
    ClusterNode* by = nullptr;
    int incarnation = 0;
    TimePoint at;
    bool mayBeUnderReplicated = false;  ///< too few others could be reached for all the copies
  };
  struct Addition {
    string tally, id;
    std::int64_t change = 0;
    bool mayCount = false;  ///< a try had another end than a promise that nothing was counted
    std::optional<Acknowledgement> acknowledged;
  };

  Task<void> addOnce(string zone);
  Task<HttpAnswer> post(Addition const& addition, ClusterNode& control);
  /// The total that a node tells; nothing if it tells none.
  Task<std::optional<std::int64_t>> read(ClusterNode& control, string tally);
  Task<void> readOnce(string zone);
  /// A control node, most often the first that answers of the zone.
  ClusterNode& drawControl(string const& zone);
  std::int64_t maxTotalOf(string const& tally) const;
  std::int64_t acknowledgedTotalBy(ClusterNode const& control, string const& tally) const;
  std::int64_t guaranteedTotalOf(string const& tally) const;
  bool isReplicationDoubtful() const;
  /// What is wrong with the totals of a tally at all control nodes; empty if nothing is.
  Task<string> describeMismatch(string tally);

  asio::io_context& io_;
  Cluster& cluster_;
  Verdict& verdict_;
  Random random_;
  std::deque<Addition> additions_;
  std::set<string> tallies_;
  std::size_t underWay_ = 0;
  bool stopping_ = false;
};

}  // namespace tealshelf::soak
