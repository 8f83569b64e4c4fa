#pragma once
#include "tools/soak/child_process.hpp"
#include "tools/soak/http_call.hpp"
#include "tools/soak/network_fault_table.hpp"
#include "tools/soak/topology.hpp"
#include "tools/soak/verdict.hpp"

namespace tealshelf::soak {

/// One tealshelf process under test. Overlapping faults are counted: the process runs again once all of them have
/// ended.
struct ClusterNode {
  /// A period in which the process was down, paused or not ready yet; no end while it lasts.
  struct Outage {
    TimePoint begin;
    std::optional<TimePoint> end;
  };
  NodePlan plan;
  ChildProcess process;
  int activeKills = 0, activePauses = 0;  ///< active faults that keep it down, or paused
  int activeTerminations = 0;             ///< active faults that sent it SIGTERM
  int incarnation = 0;                    ///< incremented at each start
  TimePoint diskWipedAt;                  ///< last loss of its disk
  vector<Outage> outages;
  /// Address of a port of this node; GCC 12 rejects a braced Address inside `co_await`.
  Address address(int port) const { return {plan.ip, port}; }
};

/// All tealshelf processes of a run, and the stand-in platform.
class Cluster {
 public:
  Cluster(asio::io_context& io, Options const& options, Topology topology, string directory, Verdict& verdict);

  /// Starts the stand-in platform, which runs until stopAll().
  void startPlatform();
  /// Makes the platform answer normally for the rest of the run.
  void stopPlatformFaults();
  /// Usage reports that the platform has accepted so far.
  struct AcceptedReports {
    std::int64_t newestWindow = 0;  ///< window number; 0 before the first report
    std::size_t gaps = 0;           ///< unreported windows between the first and the last reported one
  };
  AcceptedReports acceptedReports() const;
  /// Starts all nodes for the first time.
  void startAll();
  vector<std::unique_ptr<ClusterNode>> const& nodes() const { return nodes_; }
  Topology const& topology() const { return topology_; }
  SoakBounds const& bounds() const { return bounds_; }
  vector<ClusterNode*> nodesOf(NodeRole role) const;
  /// IPs of the nodes with a disk.
  vector<string> diskNodeIps() const;
  vector<string> allIps() const;
  NetworkFaultTable& networkFaults() { return networkFaults_; }

  void kill(ClusterNode& node);
  /// Deletes the data folder of a process that is down.
  void wipeDisk(ClusterNode& node);
  void restart(ClusterNode& node);
  /// Sends SIGTERM to a process.
  void terminate(ClusterNode& node);
  /// Ends a terminate() fault: restarts the process unless another fault keeps it down.
  void endTermination(ClusterNode& node);
  /// Rewrites the settings file with the seeds in another order and sends SIGHUP.
  void hangUp(ClusterNode& node);
  void pause(ClusterNode& node);
  void resume(ClusterNode& node);

  /// Records that a fault begins or ends, for isFaultFreeFor().
  void faultBegins() { ++openFaults_; }
  void faultEnds();
  /// True if no fault was active during the last `duration`.
  bool isFaultFreeFor(Ms duration) const;
  /// True if the node had an outage that overlaps the period.
  bool hadOutage(ClusterNode const& node, TimePoint from, TimePoint until) const;
  /// True if the missing answer is explained by SIGTERM: a process that shuts down may refuse a connection, or close it
  /// at once with the request unread.
  bool mayHaveClosedUnread(ClusterNode const& node, HttpAnswer const& answer) const;
  /// Polls for processes that exited by themselves, fails the run for each unexpected exit, and restarts them.
  Task<void> watchProcesses();
  /// Waits until all edges report readiness; false on a timeout.
  Task<bool> awaitReadyEdges(TimePoint until);
  void stopAll();

 private:
  void start(ClusterNode& node);
  /// Writes a node's settings file and returns its path.
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
