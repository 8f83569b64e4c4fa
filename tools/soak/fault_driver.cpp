#include "tools/soak/fault_driver.hpp"

#include <csignal>

namespace tealshelf::soak {

namespace {
constexpr double lostAnswerShare = 0.2;
constexpr Ms waitForAcknowledgement{3000}, pollPeriod{5};

bool isCut(FaultKind kind) {
  return kind == FaultKind::coreCut || kind == FaultKind::split || kind == FaultKind::edgeCut;
}
}  // namespace

FaultDriver::FaultDriver(asio::io_context& io, Cluster& cluster, vector<std::unique_ptr<StandInWorker>>& workers,
                         OperatorClient& operators, LotBook const& book, Verdict& verdict)
    : io_(io), cluster_(cluster), workers_(workers), operators_(operators), book_(book), verdict_(verdict) {}

Task<void> FaultDriver::play(Episode episode) {
  std::shared_ptr<std::size_t> const open = std::make_shared<std::size_t>(episode.faults.size());
  cluster_.faultBegins();
  for (Fault const& fault : episode.faults) spawnTask(io_, "fault", playFault(fault, open));
  while (*open) co_await sleepFor(pollPeriod);
  cluster_.faultEnds();
}

Task<void> FaultDriver::playFault(Fault fault, std::shared_ptr<std::size_t> open) {
  co_await sleepFor(fault.startsAfter);
  if (fault.afterAcknowledgement && fault.afterLot) co_await awaitAcceptedLot();
  if (fault.afterAcknowledgement && !fault.afterLot) co_await operators_.awaitAcknowledgement(waitForAcknowledgement);
  verdict_.note("fault begins: " + fault.describe(cluster_.topology()));
  try {
    begin(fault);
    co_await sleepFor(fault.lasts);
    end(fault);
  } catch (std::exception const& error) {
    verdict_.fail("soak", string("the soak itself failed: ") + error.what());
  }
  verdict_.trace("fault ends: " + fault.describe(cluster_.topology()));
  --*open;
}

/// Returns in the moment in which a client sees a lot accepted.
Task<void> FaultDriver::awaitAcceptedLot() {
  TimePoint const until = Clock::now() + waitForAcknowledgement;
  std::size_t const known = book_.countOf(Lot::State::accepted);
  while (book_.countOf(Lot::State::accepted) == known && Clock::now() < until) co_await sleepFor(Ms(1));
}

void FaultDriver::begin(Fault const& fault) {
  if (fault.kind == FaultKind::workerCrash) {
    for (std::size_t const worker : fault.nodes)
      if (workers_[worker]->isRunning()) workers_[worker]->crash();
    return;
  }
  if (isCut(fault.kind)) return setCuts(fault, true);
  if (!fault.alsoKilled.empty()) killAtOnce(fault);
  for (std::size_t const place : fault.nodes) beginAtNode(fault, *cluster_.nodes()[place]);
  cluster_.cuts().publish();
}

void FaultDriver::end(Fault const& fault) {
  if (fault.kind == FaultKind::workerCrash) {
    for (std::size_t const worker : fault.nodes)
      if (!workers_[worker]->isRunning()) workers_[worker]->start();
    return;
  }
  if (isCut(fault.kind)) return setCuts(fault, false);
  for (std::size_t const place : fault.alsoKilled) cluster_.restart(*cluster_.nodes()[place]);
  for (std::size_t const place : fault.nodes) endAtNode(fault, *cluster_.nodes()[place]);
  cluster_.cuts().publish();
}

/// Kills the others along with those that lose their disks: all signals go out before the first process is waited for.
void FaultDriver::killAtOnce(Fault const& fault) {
  vector<ClusterNode*> all;
  for (std::size_t const place : fault.nodes) all.push_back(cluster_.nodes()[place].get());
  for (std::size_t const place : fault.alsoKilled) all.push_back(cluster_.nodes()[place].get());
  for (ClusterNode* const node : all) node->process.signal(SIGKILL);
  for (std::size_t const place : fault.alsoKilled) cluster_.kill(*cluster_.nodes()[place]);
}

void FaultDriver::beginAtNode(Fault const& fault, ClusterNode& node) {
  if (fault.kind == FaultKind::pauseNode) return cluster_.pause(node);
  if (fault.kind == FaultKind::loseAnswers) return cluster_.cuts().loseAnswers(node.plan.ip, lostAnswerShare);
  cluster_.kill(node);
  if (fault.kind == FaultKind::loseDisk) cluster_.emptyDisk(node);
}

void FaultDriver::endAtNode(Fault const& fault, ClusterNode& node) {
  if (fault.kind == FaultKind::pauseNode) return cluster_.resume(node);
  if (fault.kind == FaultKind::loseAnswers) return cluster_.cuts().loseAnswers(node.plan.ip, 0);
  cluster_.restart(node);
}

/// Cuts the nodes of a fault off from the others that count, or, an edge, from all machines.
void FaultDriver::setCuts(Fault const& fault, bool open) {
  std::set<string> inside;
  for (std::size_t const place : fault.nodes) inside.insert(cluster_.topology().nodes[place].ip);
  bool const fromAll = fault.kind == FaultKind::edgeCut;
  auto const set = [this, open](string const& from, string const& to) {
    if (open)
      cluster_.cuts().cut(from, to);
    else
      cluster_.cuts().mend(from, to);
  };
  for (string const& other : fromAll ? cluster_.allIps() : cluster_.countedIps())
    for (string const& ip : inside) {
      if (inside.contains(other)) continue;
      set(other, ip);
      if (!fault.oneWay) set(ip, other);
    }
  cluster_.cuts().publish();
}

}  // namespace tealshelf::soak
