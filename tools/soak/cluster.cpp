#include "tools/soak/cluster.hpp"

#include "tools/soak/stand_in_platform.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace tealshelf::soak {

namespace {
constexpr Ms readinessPeriod{100}, readinessLimit{1000}, watchPeriod{50}, pauseBeforeRestart{300};
/// Time that a resumed process gets to serve the connections that queued up during its pause.
constexpr Ms afterPause{1500};
/// Extra delay allowed for a busy machine.
constexpr Ms machineSlack{300};
string const cleanEnd = "exit status 0";

string programOf(NodeRole role) {
  return role == NodeRole::control ? "tealshelf-control-plane" : "tealshelf-data-plane";
}

string verbOf(NodeRole role) {
  switch (role) {
    case NodeRole::control:
      return "serve";
    case NodeRole::edge:
      return "edge";
    case NodeRole::store:
      return "store";
  }
  return "";
}
}  // namespace

Cluster::Cluster(asio::io_context& io, Options const& options, Topology topology, string directory, Verdict& verdict)
    : io_(io),
      options_(options),
      topology_(std::move(topology)),
      directory_(std::move(directory)),
      verdict_(verdict),
      networkFaults_(directory_ + "/faults") {
  for (string const folder : {"/disks", "/logs", "/settings"}) std::filesystem::create_directories(directory_ + folder);
  for (NodePlan const& plan : topology_.nodes) {
    nodes_.push_back(std::make_unique<ClusterNode>());
    nodes_.back()->plan = plan;
  }
}

vector<ClusterNode*> Cluster::nodesOf(NodeRole role) const {
  vector<ClusterNode*> found;
  for (std::unique_ptr<ClusterNode> const& node : nodes_)
    if (node->plan.role == role) found.push_back(node.get());
  return found;
}

vector<string> Cluster::diskNodeIps() const {
  vector<string> ips;
  for (std::unique_ptr<ClusterNode> const& node : nodes_)
    if (node->plan.hasDisk) ips.push_back(node->plan.ip);
  return ips;
}

vector<string> Cluster::allIps() const {
  std::set<string> ips;
  for (std::unique_ptr<ClusterNode> const& node : nodes_) ips.insert(node->plan.ip);
  return vector<string>(ips.begin(), ips.end());
}

void Cluster::startPlatform() {
  vector<string> command{std::filesystem::read_symlink("/proc/self/exe").string(),
                         platformCommand,
                         "--at",
                         topology_.platformAddress,
                         "--seed",
                         std::to_string(options_.seed),
                         "--lease-ms",
                         std::to_string(bounds_.lease.count()),
                         "--calls-per-second",
                         std::to_string(bounds_.dutiesPerSecond)};
  if (options_.faults.empty()) command.emplace_back("--well");
  platform_.start(command, {}, platformLog());
}

void Cluster::stopPlatformFaults() {
  platform_.signal(recoverySignal);
}

Cluster::AcceptedReports Cluster::acceptedReports() const {
  static string const mark = " taken usage ", gapsMark = ", gaps ";
  std::ifstream log(platformLog());
  AcceptedReports accepted;
  string line;
  while (std::getline(log, line)) {
    std::size_t const at = line.find(mark), gapsAt = line.find(gapsMark);
    if (at == string::npos || gapsAt == string::npos) continue;
    accepted.newestWindow = std::max<std::int64_t>(accepted.newestWindow, std::stoll(line.substr(at + mark.size())));
    accepted.gaps = std::stoull(line.substr(gapsAt + gapsMark.size()));
  }
  return accepted;
}

void Cluster::startAll() {
  for (std::unique_ptr<ClusterNode> const& node : nodes_) {
    beginOutage(*node);
    start(*node);
  }
  firstBoot_ = false;
}

string Cluster::writeSettings(ClusterNode const& node) {
  string const path = directory_ + "/settings/" + node.plan.name + ".conf";
  std::ofstream(path) << settingsText(node.plan, topology_, options_, bounds_, folderOf(node), firstBoot_);
  return path;
}

void Cluster::start(ClusterNode& node) {
  if (node.plan.hasDisk) std::filesystem::create_directories(folderOf(node));
  string const settingsPath = writeSettings(node);
  vector<string> const command{options_.build + "/" + programOf(node.plan.role), "--log-level", options_.logLevel,
                               verbOf(node.plan.role)};
  vector<EnvironmentValue> const environment{{"TEALSHELF_BOOT", settingsPath},
                                             {"TEALSHELF_FAULT_FILE", networkFaults_.path()},
                                             {"TEALSHELF_FAULT_SELF", node.plan.ip}};
  ++node.incarnation;
  string const log = directory_ + "/logs/" + node.plan.name + ".log";
  std::ofstream(log, std::ios::app) << "-- start " << node.incarnation << "\n";
  node.process.start(command, environment, log);
  spawnTask(io_, "readiness", endOutageOnceReady(node, node.incarnation));
}

void Cluster::beginOutage(ClusterNode& node) {
  bool const open = !node.outages.empty() && !node.outages.back().end;
  if (!open) node.outages.push_back({Clock::now(), std::nullopt});
}

void Cluster::endOutage(ClusterNode& node) {
  bool const over = node.activeKills == 0 && node.activePauses == 0;
  if (over && !node.outages.empty() && !node.outages.back().end) node.outages.back().end = Clock::now();
}

void Cluster::kill(ClusterNode& node) {
  beginOutage(node);
  if (++node.activeKills > 1) return;
  node.process.killAndWait();
}

void Cluster::wipeDisk(ClusterNode& node) {
  std::filesystem::remove_all(folderOf(node));
  node.diskWipedAt = Clock::now();
}

void Cluster::restart(ClusterNode& node) {
  // A process that also received SIGTERM is started by endTermination().
  if (--node.activeKills > 0 || stopping_ || node.activeTerminations > 0) return;
  start(node);
}

void Cluster::terminate(ClusterNode& node) {
  ++node.activeTerminations;
  node.process.signal(SIGTERM);
}

void Cluster::endTermination(ClusterNode& node) {
  if (--node.activeTerminations > 0 || node.activeKills > 0 || stopping_) return;
  if (!node.process.isRunning()) start(node);
}

void Cluster::hangUp(ClusterNode& node) {
  std::rotate(topology_.seeds.begin(), topology_.seeds.begin() + 1, topology_.seeds.end());
  writeSettings(node);
  node.process.signal(SIGHUP);
}

/// After SIGTERM a process may exit, with status 0; any other exit fails the run.
void Cluster::handleExit(ClusterNode& node, string const& how) {
  if (node.activeTerminations > 0) {
    beginOutage(node);
    if (how != cleanEnd)
      verdict_.fail("Own ends", node.plan.name + " exited after SIGTERM with " + how + " instead of " + cleanEnd);
    return;
  }
  verdict_.fail("Own ends", node.plan.name + " exited unexpectedly: " + how);
  kill(node);
}

void Cluster::pause(ClusterNode& node) {
  beginOutage(node);
  ++node.activePauses;
  node.process.signal(SIGSTOP);
}

void Cluster::resume(ClusterNode& node) {
  if (--node.activePauses > 0) return;
  node.process.signal(SIGCONT);
  spawnTask(io_, "readiness", endOutageOnceReady(node, node.incarnation));
}

/// Ends a node's outage once the node serves again.
Task<void> Cluster::endOutageOnceReady(ClusterNode& node, int incarnation) {
  bool ready = false;
  while (!ready && node.incarnation == incarnation && !stopping_) {
    co_await sleepFor(readinessPeriod);
    ready = node.plan.role != NodeRole::edge;
    if (!ready) ready = co_await isReady(node);
  }
  co_await sleepFor(afterPause);
  if (node.incarnation == incarnation) endOutage(node);
}

Task<bool> Cluster::isReady(ClusterNode const& node) {
  HttpRequest request = makeRequest(http::verb::get, "/readiness", node.plan.ip);
  HttpAnswer const answer = co_await callHttp(io_, node.address(readinessPort), std::move(request), readinessLimit);
  co_return answer.complete&& answer.status == 200;
}

Task<bool> Cluster::awaitReadyEdges(TimePoint until) {
  for (ClusterNode* const edge : nodesOf(NodeRole::edge)) {
    bool ready = co_await isReady(*edge);
    while (!ready) {
      if (Clock::now() > until) co_return false;
      co_await sleepFor(readinessPeriod);
      ready = co_await isReady(*edge);
    }
  }
  co_return true;
}

void Cluster::faultEnds() {
  --openFaults_;
  lastFaultEndedAt_ = Clock::now();
}

bool Cluster::isFaultFreeFor(Ms duration) const {
  return openFaults_ == 0 && Clock::now() - lastFaultEndedAt_ > duration;
}

bool Cluster::hadOutage(ClusterNode const& node, TimePoint from, TimePoint until) const {
  return std::any_of(node.outages.begin(), node.outages.end(), [from, until](ClusterNode::Outage const& outage) {
    return outage.begin <= until && (!outage.end || *outage.end >= from);
  });
}

bool Cluster::mayHaveClosedUnread(ClusterNode const& node, HttpAnswer const& answer) const {
  if (node.activeTerminations == 0 || answer.status != 0) return false;
  return !answer.connected || answer.endedAt - answer.sentAt <= bounds_.slack + machineSlack;
}

Task<void> Cluster::watchProcesses() {
  while (!stopping_) {
    for (std::unique_ptr<ClusterNode> const& node : nodes_) {
      std::optional<string> const end = node->process.pollExit();
      if (!end) continue;
      handleExit(*node, *end);
      if (node->activeTerminations > 0) continue;
      co_await sleepFor(pauseBeforeRestart);
      restart(*node);
    }
    co_await sleepFor(watchPeriod);
  }
}

void Cluster::stopAll() {
  stopping_ = true;
  for (std::unique_ptr<ClusterNode> const& node : nodes_) node->process.killAndWait();
  platform_.killAndWait();
}

}  // namespace tealshelf::soak
