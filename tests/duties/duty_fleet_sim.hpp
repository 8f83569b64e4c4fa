#pragma once
#include "duties/duty_lease.hpp"
#include "duties/usage_ledger.hpp"
#include "tests/consensus/consensus_sim.hpp"

namespace tealshelf::sim {

/// Simulates control nodes that hold the duties, edges that count requests, and the platform, on a virtual clock.
///
/// A seed determines kills, power losses, suspended processes, partitions, lost answers and calls that arrive seconds
/// late. Every call that is sent or accepted is checked; `Mutation` lists the faults that must be detected.
class DutyFleet {
 public:
  enum class Mutation {
    none,
    reusesFence,            ///< a claim reuses the previous claim's fencing token
    recomputesReport,       ///< a report contains the counts at the time of the call, not the committed ones
    actsAfterLease,         ///< a holder acts until it learns that it lost the ownership
    leaseByWallClock,       ///< the lease is measured by a clock that jumps, and stops while the process is suspended
    callsThroughOtherNode,  ///< a holder's call is sent by another node
    countsRepeatsTwice,     ///< a usage report that arrives twice is added twice
    previousFence,          ///< orders carry the fencing token of the previous claim
    skipsWait               ///< a holder acts at once after its claim, without waiting a lease
  };
  static constexpr Ms lease{3000}, window{5000}, delay{10000}, step{5};
  static constexpr std::size_t nodeCount = 5, edgeCount = 3, tenantCount = 4;

  DutyFleet(std::uint64_t seed, Mutation mutation);
  /// Runs the simulation; returns the first violation, or an empty string.
  string run();
  std::size_t acceptedReports() const { return reports_.size(); }
  std::size_t holders() const { return holderByFence_.size(); }
  std::size_t supersededCalls() const { return superseded_; }
  vector<string> const& trace() const { return trace_; }

 private:
  /// The state of a node in one run of its process.
  struct Holder {
    DutyLease lease{DutyFleet::lease};
    std::uint64_t life = 0;
    bool isAsking = false, isWriting = false, isCalling = false;
    std::uint64_t previousFence = 0;
    std::set<WindowNumber> taken;
    UsageTable table;
    Ms clockStep{0};  ///< of the wall clock, for `leaseByWallClock`
  };
  struct Edge {
    UsageTable table;
    UsageTable::ProcessKey key;
  };
  struct Call {
    std::size_t node = 0;
    std::uint64_t life = 0, fence = 0;
    string subject, body;
    std::optional<WindowNumber> window;
    TimePoint sentAt;
  };
  struct Accepted {
    std::size_t node = 0;
    std::uint64_t fence = 0;
    TimePoint at;
  };

  void advance();
  void injectFault();
  void unfreeze(std::size_t node);
  void stepHolder(std::size_t node);
  void claim(std::size_t node);
  void confirm(std::size_t node);
  void closeWindow(std::size_t node);
  void callPlatform(std::size_t node);
  void removeAcceptedReports(std::size_t node);
  void stepEdge(Edge& edge);
  void forward(std::size_t node);
  void send(Call call);
  void arrive(Call const& call);
  void answer(Call const& call, bool isTaken);
  void checkAccepted(Call const& call);
  void checkReport(Call const& call);
  void checkEnd();
  Values values(std::size_t node);
  TimePoint leaseClock(std::size_t node);
  bool mayAct(std::size_t node);
  std::int64_t clusterTimeMs() const;
  bool isRunning(std::size_t node);
  void note(string const& line);
  void fail(string const& what) {
    if (violation_.empty()) violation_ = what;
  }

  Mutation mutation_;
  Cluster cluster_;
  UsageLedger ledger_;
  vector<Holder> holders_;
  vector<Edge> edges_;
  std::uint64_t turn_ = 0;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<WindowNumber, std::map<string, std::uint64_t>> countedRequests_;
  std::map<WindowNumber, string> reports_;              ///< accepted by the platform
  std::map<string, std::uint64_t> highestFence_;        ///< seen by the platform, by subject
  std::map<string, vector<Accepted>> accepted_;         ///< by subject
  std::map<std::uint64_t, std::size_t> holderByFence_;  ///< the node that called, by fencing token
  std::uint64_t highestSentFence_ = 0;
  std::size_t superseded_ = 0;
  bool faultsEnded_ = false;
  string violation_;
  vector<string> trace_;
};

}  // namespace tealshelf::sim
