#include "tools/soak/soak_run.hpp"

#include "tools/soak/log_scan.hpp"

#include <filesystem>

namespace tealshelf::soak {

namespace {
constexpr Ms startLimit{40000}, drainLimit{20000}, pollInterval{100};
constexpr int firstWorkerNumber = 601, workerPort = 8080, observers = 4, tallyClientsPerZone = 2;

string emptyFolder(string const& parent, std::uint64_t seed) {
  string const folder = parent + "/seed-" + std::to_string(seed);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder;
}
}  // namespace

SoakRun::SoakRun(Options const& options)
    : options_(options),
      directory_(emptyFolder(options.directory, options.seed)),
      verdict_(directory_, options.seed),
      block_(io_, options.seed),
      cluster_(io_, options_, makeTopology(options_, block_), directory_, verdict_),
      ledger_(verdict_),
      lotChecker_(ledger_, verdict_, cluster_.bounds()),
      operators_(io_, cluster_, verdict_, options.seed),
      requests_(io_, cluster_, ledger_, verdict_, options.seed),
      keepAliveClients_(io_, cluster_, requests_, verdict_, options.seed),
      probe_(io_, cluster_, operators_, ledger_, verdict_, options.seed),
      tallies_(io_, cluster_, verdict_, options.seed),
      selfTest_(io_, options_.runsSelfTest, cluster_, workers_, lotChecker_, tallies_, verdict_),
      lots_(io_, options_, cluster_, ledger_, lotChecker_, selfTest_, verdict_),
      faults_(io_, cluster_, workers_, operators_, lotChecker_, verdict_),
      checks_(io_, cluster_, operators_, requests_, probe_, lots_, lotChecker_, verdict_) {
  makeWorkers();
}

void SoakRun::makeWorkers() {
  vector<Address> controls;
  for (ClusterNode* const control : cluster_.nodesOf(NodeRole::control))
    controls.push_back({control->plan.ip, controlPort});
  for (int number = 0; number < options_.modelWorkers + options_.appWorkers; ++number) {
    WorkerPlan plan;
    plan.name = std::to_string(number + 1);
    plan.service = number < options_.modelWorkers ? "models" : "app";
    plan.zone = cluster_.topology().zones[static_cast<std::size_t>(number) % cluster_.topology().zones.size()];
    plan.address = {block_.ip(firstWorkerNumber + number), workerPort};
    plan.bounds = cluster_.bounds();
    plan.controls = controls;
    workers_.push_back(std::make_unique<StandInWorker>(io_, plan, ledger_, verdict_, options_.seed));
  }
}

bool SoakRun::run() {
  bool ended = false;
  asio::co_spawn(io_, runAll(), [this, &ended](std::exception_ptr failure) {
    ended = true;
    try {
      if (failure) std::rethrow_exception(failure);
    } catch (std::exception const& error) {
      verdict_.fail("soak", string("internal error of the soak: ") + error.what());
    }
    io_.stop();
  });
  io_.run();
  if (!ended) verdict_.fail("soak", "the event loop stopped before the run ended");
  cluster_.stopAll();
  selfTest_.corruptLogs(directory_ + "/logs");
  scanLogs(directory_ + "/logs", verdict_);
  verdict_.summarize();
  bool const passed = selfTest_.judge();
  if (passed && !options_.keepAlways) std::filesystem::remove_all(directory_);
  return passed;
}

Task<void> SoakRun::runAll() {
  bool const isUp = co_await startUp();
  if (!isUp) co_return;
  startClients();
  co_await runFaults();
  cluster_.stopPlatformFaults();
  co_await stopClients();
  verdict_.note("all faults have ended: " + std::to_string(lotChecker_.countOf(Lot::State::accepted)) +
                " lots accepted, " + std::to_string(lotChecker_.countOf(Lot::State::unclear)) + " unclear, " +
                std::to_string(lotChecker_.countOf(Lot::State::refused)) + " refused; the final checks begin");
  co_await checks_.run();
  co_await tallies_.checkAtEnd(Clock::now() + cluster_.bounds().recover);
  co_await checkUsageIsReported(Clock::now() + cluster_.bounds().recover);
  // Wait for late requests at workers, which are checked too.
  co_await sleepFor(pollInterval);
}

/// Once all faults have ended, usage must be reported again by whichever node holds the duties: windows that end from
/// now on, and all that were due before.
Task<void> SoakRun::checkUsageIsReported(TimePoint until) {
  std::int64_t const currentWindow = wallClockMs() / cluster_.bounds().reportWindow.count();
  while (cluster_.acceptedReports().newestWindow < currentWindow && Clock::now() < until)
    co_await sleepFor(pollInterval);
  Cluster::AcceptedReports const accepted = cluster_.acceptedReports();
  if (accepted.newestWindow < currentWindow) verdict_.fail("Duty", "no usage was reported after all faults had ended");
  if (accepted.gaps) verdict_.fail("Duty", std::to_string(accepted.gaps) + " usage windows were never reported");
}

Task<bool> SoakRun::startUp() {
  TimePoint const until = Clock::now() + startLimit;
  cluster_.startPlatform();
  cluster_.startAll();
  spawnTask(io_, "processes", cluster_.watchProcesses());
  bool const configured = co_await operators_.change(until);
  for (std::unique_ptr<StandInWorker> const& worker : workers_) worker->start();
  bool const ready = co_await cluster_.awaitReadyEdges(until);
  bool served = false;
  while (configured && ready && !served && Clock::now() < until) {
    served = co_await requests_.requestAt(*cluster_.nodesOf(NodeRole::edge)[0], RequestKind::repeatable);
    if (!served) co_await sleepFor(pollInterval);
  }
  if (!served) verdict_.fail("start", "the processes served no request before the start timeout");
  verdict_.note("startup ended, first address " + block_.ip(1));
  co_return served;
}

void SoakRun::startClients() {
  spawnTask(io_, "operator", operators_.runChanges(options_.changePause));
  spawnTask(io_, "operator's reads", operators_.runReads());
  spawnTask(io_, "requests", requests_.sendRequests(options_.requestsPerSecond));
  spawnTask(io_, "lots", lots_.submitLots());
  if (options_.runsSelfTest) spawnTask(io_, "sabotage", selfTest_.run());
  for (int i = 0; i < options_.keepAliveClients; ++i) spawnTask(io_, "kept client", keepAliveClients_.runClient());
  for (int i = 0; i < observers; ++i) spawnTask(io_, "observer", lots_.observe());
  for (string const& zone : cluster_.topology().zones)
    for (int i = 0; i < tallyClientsPerZone; ++i) spawnTask(io_, "tallies", tallies_.runInZone(zone));
  for (ClusterNode* const edge : cluster_.nodesOf(NodeRole::edge)) spawnTask(io_, "probe", probe_.watch(*edge));
}

Task<void> SoakRun::runFaults() {
  TimePoint const until = Clock::now() + std::chrono::seconds(options_.seconds);
  FaultPlanner planner(options_, cluster_.topology(), workers_.size());
  while (Clock::now() < until && !options_.faults.empty()) {
    Episode const episode = planner.draw();
    co_await faults_.run(episode);
    co_await repair(episode.beyondSurvive);
  }
  if (options_.faults.empty()) co_await sleepFor(Ms(remainingMs(until)));
  if (options_.closing != ClosingFault::none) co_await faults_.run(planner.drawClosing());
}

/// Waits until lost disks must be recovered: `catchUp` after their return, or `recover` if more than `survive` failed.
Task<void> SoakRun::repair(bool beyondSurvive) {
  SoakBounds const& bounds = cluster_.bounds();
  co_await sleepFor(beyondSurvive ? bounds.recover : bounds.catchUp + bounds.inTouch / 6);
}

Task<void> SoakRun::stopClients() {
  lots_.stop();
  requests_.stop();
  keepAliveClients_.stop();
  probe_.stop();
  tallies_.stop();
  operators_.stop();
  TimePoint const until = Clock::now() + drainLimit;
  auto const callsInFlight = [this] {
    return lots_.callsInFlight() + requests_.callsInFlight() + keepAliveClients_.callsInFlight() +
           probe_.callsInFlight() + operators_.callsInFlight() + tallies_.callsInFlight();
  };
  while (callsInFlight() && Clock::now() < until) co_await sleepFor(pollInterval);
  if (operators_.callsInFlight())
    verdict_.fail("CONFIG", "a configuration change has no clear outcome long after all faults had ended");
}

}  // namespace tealshelf::soak
