#include "tools/soak/fault_driver.hpp"

#include <csignal>

namespace tealshelf::soak {

namespace {
constexpr double lostAnswersInFault = 0.2;
constexpr Ms waitForAcknowledgement{3000}, pollPeriod{5}, betweenRepeats{250};
/// Evacuation orders are retried for this multiple of `confirmWithin`.
constexpr int orderTimeoutFactor = 6;

bool isCut(FaultKind kind) {
  return kind == FaultKind::coreCut || kind == FaultKind::split || kind == FaultKind::edgeCut;
}
}  // namespace

FaultDriver::FaultDriver(asio::io_context& io, Cluster& cluster, vector<std::unique_ptr<StandInWorker>>& workers,
                         OperatorClient& operators, LotChecker const& lotChecker, Verdict& verdict)
    : io_(io),
      cluster_(cluster),
      workers_(workers),
      operators_(operators),
      lotChecker_(lotChecker),
      verdict_(verdict) {}

Task<void> FaultDriver::run(Episode episode) {
  std::shared_ptr<std::size_t> const pending = std::make_shared<std::size_t>(episode.faults.size());
  cluster_.faultBegins();
  for (Fault const& fault : episode.faults) spawnTask(io_, "fault", runFault(fault, pending));
  while (*pending) co_await sleepFor(pollPeriod);
  cluster_.faultEnds();
}

Task<void> FaultDriver::runFault(Fault fault, std::shared_ptr<std::size_t> pending) {
  co_await sleepFor(fault.startDelay);
  if (fault.afterAcknowledgement && fault.afterLot) co_await awaitAcceptedLot();
  if (fault.afterAcknowledgement && !fault.afterLot) co_await operators_.awaitAcknowledgement(waitForAcknowledgement);
  verdict_.note("fault begins: " + fault.describe(cluster_.topology()));
  try {
    for (int round = 0; round < fault.repeats; ++round) {
      if (round) co_await sleepFor(betweenRepeats);
      co_await injectOnce(fault);
    }
  } catch (std::exception const& error) {
    verdict_.fail("soak", string("internal error of the soak: ") + error.what());
  }
  verdict_.trace("fault ends: " + fault.describe(cluster_.topology()));
  --*pending;
}

Task<void> FaultDriver::injectOnce(Fault const& fault) {
  if (fault.kind == FaultKind::terminate) co_return co_await runTermination(fault);
  if (fault.kind == FaultKind::evacuate) co_return co_await runEvacuation(fault);
  begin(fault);
  co_await sleepFor(fault.duration);
  end(fault);
}

Task<void> FaultDriver::runTermination(Fault const& fault) {
  ClusterNode& node = *cluster_.nodes()[fault.nodes[0]];
  TimePoint const signalledAt = Clock::now(), until = signalledAt + cluster_.bounds().grace;
  bool const wasHealthy = node.process.isRunning() && !cluster_.hadOutage(node, signalledAt, signalledAt);
  cluster_.terminate(node);
  while (node.process.isRunning() && Clock::now() < until) co_await sleepFor(pollPeriod);
  bool const wasLeftAlone =
      wasHealthy && node.activePauses == 0 && !cluster_.hadOutage(node, signalledAt, until - pollPeriod);
  if (node.process.isRunning()) {
    if (wasLeftAlone) verdict_.fail("Own ends", node.plan.name + " didn't exit within its grace period after SIGTERM");
    cluster_.kill(node);
    --node.activeKills;
  }
  verdict_.count("processes told to end");
  co_await sleepFor(fault.duration);
  cluster_.endTermination(node);
}

Task<void> FaultDriver::runEvacuation(Fault const& fault) {
  Ms const limit = orderTimeoutFactor * cluster_.bounds().confirmWithin;
  bool const acknowledged = co_await operators_.orderEvacuation(http::verb::post, fault.zone, limit);
  if (acknowledged) verdict_.count("zones evacuated");
  co_await sleepFor(fault.duration);
  for (std::unique_ptr<StandInWorker> const& worker : workers_)
    if (worker->zone() == fault.zone && worker->isRunning()) worker->beginWarmUp();
  bool const endAcknowledged = co_await operators_.orderEvacuation(http::verb::delete_, fault.zone, limit);
  if (!endAcknowledged)
    verdict_.fail("Acks", "the order to end the evacuation of " + fault.zone + " wasn't acknowledged");
}

/// Returns as soon as a client sees the next lot accepted, or after `waitForAcknowledgement`.
Task<void> FaultDriver::awaitAcceptedLot() {
  TimePoint const until = Clock::now() + waitForAcknowledgement;
  std::size_t const known = lotChecker_.countOf(Lot::State::accepted);
  while (lotChecker_.countOf(Lot::State::accepted) == known && Clock::now() < until) co_await sleepFor(Ms(1));
}

void FaultDriver::begin(Fault const& fault) {
  if (fault.kind == FaultKind::workerCrash) {
    for (std::size_t const worker : fault.nodes)
      if (workers_[worker]->isRunning()) workers_[worker]->crash();
    return;
  }
  if (isCut(fault.kind)) return setLinkCuts(fault, true);
  if (!fault.alsoKilled.empty()) killSimultaneously(fault);
  for (std::size_t const index : fault.nodes) beginAtNode(fault, *cluster_.nodes()[index]);
  cluster_.networkFaults().publish();
}

void FaultDriver::end(Fault const& fault) {
  if (fault.kind == FaultKind::workerCrash) {
    for (std::size_t const worker : fault.nodes)
      if (!workers_[worker]->isRunning()) workers_[worker]->start();
    return;
  }
  if (isCut(fault.kind)) return setLinkCuts(fault, false);
  for (std::size_t const index : fault.alsoKilled) cluster_.restart(*cluster_.nodes()[index]);
  for (std::size_t const index : fault.nodes) endAtNode(fault, *cluster_.nodes()[index]);
  cluster_.networkFaults().publish();
}

/// Kills the nodes that lose their disks and those of `alsoKilled`: sends all signals before waiting for any exit.
void FaultDriver::killSimultaneously(Fault const& fault) {
  vector<ClusterNode*> all;
  for (std::size_t const index : fault.nodes) all.push_back(cluster_.nodes()[index].get());
  for (std::size_t const index : fault.alsoKilled) all.push_back(cluster_.nodes()[index].get());
  for (ClusterNode* const node : all) node->process.signal(SIGKILL);
  for (std::size_t const index : fault.alsoKilled) cluster_.kill(*cluster_.nodes()[index]);
}

void FaultDriver::beginAtNode(Fault const& fault, ClusterNode& node) {
  if (fault.kind == FaultKind::pauseNode) return cluster_.pause(node);
  if (fault.kind == FaultKind::hangUp) return cluster_.hangUp(node);
  if (fault.kind == FaultKind::loseAnswers)
    return cluster_.networkFaults().injectAnswerLoss(node.plan.ip, lostAnswersInFault);
  cluster_.kill(node);
  if (fault.kind == FaultKind::loseDisk) cluster_.wipeDisk(node);
}

void FaultDriver::endAtNode(Fault const& fault, ClusterNode& node) {
  if (fault.kind == FaultKind::pauseNode) return cluster_.resume(node);
  if (fault.kind == FaultKind::hangUp) return;
  if (fault.kind == FaultKind::loseAnswers) return cluster_.networkFaults().injectAnswerLoss(node.plan.ip, 0);
  cluster_.restart(node);
}

/// Cuts the links between a fault's nodes and all other nodes with a disk; for an edge cut, all other machines.
void FaultDriver::setLinkCuts(Fault const& fault, bool cuts) {
  std::set<string> inside;
  for (std::size_t const index : fault.nodes) inside.insert(cluster_.topology().nodes[index].ip);
  bool const isEdgeCut = fault.kind == FaultKind::edgeCut;
  auto const set = [this, cuts](string const& from, string const& to) {
    if (cuts)
      cluster_.networkFaults().cut(from, to);
    else
      cluster_.networkFaults().restore(from, to);
  };
  for (string const& other : isEdgeCut ? cluster_.allIps() : cluster_.diskNodeIps())
    for (string const& ip : inside) {
      if (inside.contains(other)) continue;
      set(other, ip);
      if (!fault.oneWay) set(ip, other);
    }
  cluster_.networkFaults().publish();
}

}  // namespace tealshelf::soak
