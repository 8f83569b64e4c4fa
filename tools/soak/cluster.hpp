#pragma once
#include "tools/soak/child_process.hpp"
#include "tools/soak/http_call.hpp"
#include "tools/soak/network_fault_table.hpp"
#include "tools/soak/topology.hpp"
#include "tools/soak/verdict.hpp"

namespace tealshelf::soak {

/// One of our processes: started, killed, paused, emptied. Faults that overlap on it add up: it runs again once each of
/// them is over.
struct ClusterNode {
  /// A time in which the process was in trouble; open ones have no end yet.
  struct Outage {
    TimePoint begin;
    std::optional<TimePoint> end;
  };
  NodePlan plan;
  ChildProcess process;
  int activeKills = 0, activePauses = 0;  ///< faults that hold it down, or paused
  int activeTerminations = 0;             ///< faults that had it told to end
  int incarnation = 0;                    ///< rises with each start
  TimePoint diskWipedAt;                  ///< when its disk was lost last
  vector<Outage> outages;
  /// Where it serves something; GCC 12 doesn't take an Address in braces inside `co_await`.
  Address address(int port) const { return {plan.ip, port}; }
};

/// All processes of a run.
class Cluster {
 public:
  Cluster(asio::io_context& io, Options const& options, Topology topology, string directory, Verdict& verdict);

  /// Starts the stand-in of the platform. It lasts for the whole run.
  void startPlatform();
  /// Ends the platform's misbehaviour for good.
  void stopPlatformFaults();
  /// The reports of usage that the platform has taken so far.
  struct ReportsTaken {
    std::int64_t newestWindow = 0;  ///< its number; 0 before the first
    std::size_t gaps = 0;           ///< windows that were left out between the first and the last
  };
  ReportsTaken reportsTaken() const;
  /// Starts all for the first time.
  void startAll();
  vector<std::unique_ptr<ClusterNode>> const& nodes() const { return nodes_; }
  Topology const& topology() const { return topology_; }
  SoakBounds const& bounds() const { return bounds_; }
  vector<ClusterNode*> nodesOf(NodeRole role) const;
  /// Machines that count as a loss: those with a disk.
  vector<string> diskNodeIps() const;
  vector<string> allIps() const;
  NetworkFaultTable& networkFaults() { return networkFaults_; }

  void kill(ClusterNode& node);
  /// Empties the data folder of a process that is down.
  void wipeDisk(ClusterNode& node);
  void restart(ClusterNode& node);
  /// Tells a process to end.
  void terminate(ClusterNode& node);
  /// The other end of terminate(): starts it again.
  void endTermination(ClusterNode& node);
  /// Tells a process that its settings file has changed; it names the seeds in another order.
  void hangUp(ClusterNode& node);
  void pause(ClusterNode& node);
  void resume(ClusterNode& node);

  /// Notes that a fault begins or ends; while one is open, or a moment after, the system isn't calm.
  void faultBegins() { ++openFaults_; }
  void faultEnds();
  /// No fault was open in the time before now.
  bool isFaultFreeFor(Ms duration) const;
  /// The process of the node was in trouble at some moment between two.
  bool hadOutage(ClusterNode const& node, TimePoint from, TimePoint until) const;
  /// A process that was told to end may refuse a connection, or close it at once if it hasn't read the request.
  bool mayHaveClosedUnread(ClusterNode const& node, HttpAnswer const& answer) const;
  /// Looks for processes that ended by themselves, which no rule allows, and starts them again.
  Task<void> watchProcesses();
  /// True once each edge counts itself ready.
  Task<bool> awaitReadyEdges(TimePoint until);
  void stopAll();

 private:
  void start(ClusterNode& node);
  /// Writes the settings file of a node; its path.
  string writeSettings(ClusterNode const& node);
  void handleExit(ClusterNode& node, string const& how);
  void beginOutage(ClusterNode& node);
  void endOutage(ClusterNode& node);
  string platformLog() const { return directory_ + "/logs/platform.log"; }
  string folderOf(ClusterNode const& node) const { return directory_ + "/disks/" + node.plan.name; }
  Task<void> endOutageOnceReady(ClusterNode& node, int incarnation);
  Task<bool> isReady(ClusterNode const& node);

  asio::io_context& io_;
  Options const& options_;
  Topology topology_;
  SoakBounds bounds_;
  string directory_;
  Verdict& verdict_;
  NetworkFaultTable networkFaults_;
  vector<std::unique_ptr<ClusterNode>> nodes_;
  ChildProcess platform_;
  bool firstBoot_ = true, stopping_ = false;
  int openFaults_ = 0;
  TimePoint lastFaultEndedAt_;
};

}  // namespace tealshelf::soak
