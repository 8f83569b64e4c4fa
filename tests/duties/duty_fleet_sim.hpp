#pragma once
#include "duties/duty_lease.hpp"
#include "duties/usage_ledger.hpp"
#include "tests/consensus/consensus_sim.hpp"

namespace tealshelf::sim {

/// Control nodes that hold the duties, edges that count, and a platform that takes calls late, on a virtual clock.
///
/// A seed picks kills, losses of power, freezes, cuts, lost answers and calls that arrive seconds late. The platform
/// checks what it accepts, and the run checks what is sent: see `Mutation` for what must be caught.
class DutyFleet {
 public:
  enum class Mutation {
    none,
    reusesFence,       ///< a claim takes the fencing token of the one before
    recomputesReport,  ///< a report is made of the counts at the time of its call
    actsAfterLease,    ///< a holder acts as long as it isn't told otherwise
    leaseByWallClock,  ///< the lease is measured by a clock that is stepped, and stands while the process is frozen
    callsThroughOtherNode,  ///< another node makes a holder's call
    countsRepeatsTwice,     ///< a report of counts that comes twice adds twice
    previousFence,          ///< orders go out under the fencing token of the claim before
    skipsWait               ///< a claim isn't followed by a wait
  };
  static constexpr Ms lease{3000}, window{5000}, delay{10000}, step{5};
  static constexpr std::size_t nodeCount = 5, edgeCount = 3, tenantCount = 4;

  DutyFleet(std::uint64_t seed, Mutation mutation);
  /// What was violated; empty if nothing was.
  string run();
  std::size_t acceptedReports() const { return reports_.size(); }
  std::size_t holders() const { return holderByFence_.size(); }
  std::size_t supersededCalls() const { return superseded_; }
  vector<string> const& trace() const { return trace_; }

 private:
  /// What a node knows in one life of its process.
  struct Holder {
    DutyLease lease{DutyFleet::lease};
    std::uint64_t life = 0;
    bool isAsking = false, isWriting = false, isCalling = false;
    std::uint64_t previousFence = 0;
    std::set<WindowNumber> taken;
    UsageTable table;
    Ms clockStep{0};  ///< of the time of day, for the mutation that goes by it
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
  void trouble();
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
  bool runs(std::size_t node);
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
  std::map<WindowNumber, std::map<string, std::uint64_t>> truth_;
  std::map<WindowNumber, string> reports_;              ///< that the platform accepted
  std::map<string, std::uint64_t> highestFence_;        ///< that the platform saw, by subject
  std::map<string, vector<Accepted>> accepted_;         ///< by subject
  std::map<std::uint64_t, std::size_t> holderByFence_;  ///< by fence, the node that called under it
  std::uint64_t highestSentFence_ = 0;
  std::size_t superseded_ = 0;
  bool isHealed_ = false;
  string violation_;
  vector<string> trace_;
};

}  // namespace tealshelf::sim
