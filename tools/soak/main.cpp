// Soak test: runs the tealshelf programs as real processes on loopback, with stand-in workers, clients and an operator,
// injects random faults drawn from a seed, and checks what clients and workers observe. See docs/soak.md.
#include "tools/soak/soak_run.hpp"
#include "tools/soak/stand_in_platform.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

namespace tealshelf::soak {

namespace {
constexpr int exitFailed = 1, exitBadArguments = 2;
/// Settings of the short form for CI (--short).
constexpr int shortSeconds = 12, shortItemBytes = 12000;
constexpr double shortLotsPerSecond = 3;
constexpr int controlsForTwoLosses = 5, storesForTwoLosses = 6;

vector<FaultKind> faultsNamed(string const& names) {
  vector<FaultKind> kinds;
  if (names == "none") return kinds;
  for (FaultName const& known : faultNames) {
    vector<string> const wanted = split(names, ',');
    bool const named = std::find(wanted.begin(), wanted.end(), known.name) != wanted.end();
    if (named || names == "all") kinds.push_back(known.kind);
  }
  return kinds;
}

/// Sets a short fault phase, and larger lots at a higher rate; options given on the command line take precedence.
void makeShort(CLI::App const& app, Options& options) {
  if (!app.count("--seconds")) options.seconds = shortSeconds;
  if (!app.count("--lots-per-second")) options.lotsPerSecond = shortLotsPerSecond;
  if (!app.count("--item-bytes")) options.itemBytes = shortItemBytes;
}

/// Executes one run and exits the process, which also kills its child processes.
int runSeed(Options const& options) {
  SoakRun soakRun(options);
  bool const passed = soakRun.run();
  std::cout.flush();
  // Skip destructors: tasks that are still running refer to objects of the run.
  std::_Exit(passed ? 0 : exitFailed);
}

bool runInChild(Options const& options) {
  pid_t const parent = ::getpid(), child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) std::_Exit(exitFailed);
    runSeed(options);
  }
  int status = 0;
  while (::waitpid(child, &status, 0) < 0 && errno == EINTR) {
  }
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

/// Sets the node counts needed to survive the loss of two disks; options given on the command line take precedence.
void provisionForTwoLosses(CLI::App const& app, Options& options) {
  if (options.survive < 2) return;
  if (!app.count("--controls")) options.controls = controlsForTwoLosses;
  if (!app.count("--stores")) options.stores = storesForTwoLosses;
}

std::optional<ClosingFault> closingNamed(string const& name) {
  for (ClosingName const& known : closingNames)
    if (known.name == name) return known.closing;
  return std::nullopt;
}

/// Command line values that are converted to Options after parsing.
struct CommandLine {
  string faults = "all", closing = "any";
  bool isShort = false;
};

void addOptions(CLI::App& app, Options& options, CommandLine& line) {
  app.add_option("--build", options.build, "folder of the programs, built with TEALSHELF_FAULTS")->required();
  app.add_option("--dir", options.directory, "folder for settings files, disks and logs")->required();
  app.add_option("--seed", options.seed, "seed of the first run");
  app.add_option("--seeds", options.seeds, "number of runs, with increasing seeds")->check(CLI::Range(1, 100000));
  app.add_option("--seconds", options.seconds, "length of the fault phase")->check(CLI::Range(1, 36000));
  app.add_option("--faults", line.faults, "all, none, or names separated by commas: docs/soak.md");
  app.add_option("--at-once", options.faultsAtOnce, "maximum number of overlapping faults")->check(CLI::Range(1, 6));
  app.add_option("--closing", line.closing, "disk losses at the end, with kills: none, any, alone, counted, everyone");
  app.add_flag("--short", line.isShort, "the short form for CI");
  app.add_flag("--keep", options.keepAlways, "keep the folder even if the run passed");
  app.add_option("--controls", options.controls, "control nodes with a disk")->check(CLI::Range(3, 9));
  app.add_option("--forwarders", options.forwarders, "control nodes without a disk")->check(CLI::Range(0, 9));
  app.add_option("--plain-edges", options.plainEdges, "edges without a control process on their machine")
      ->check(CLI::Range(0, 300));
  app.add_option("--stores", options.stores, "stores")->check(CLI::Range(2, 20));
  app.add_option("--zones", options.zones, "zones")->check(CLI::Range(1, 6));
  app.add_option("--survive", options.survive, "disks that may be lost at once")->check(CLI::Range(1, 2));
  app.add_option("--store-disk-mb", options.storeDiskMb, "limits.diskMb of the stores");
  app.add_option("--kept-clients", options.keepAliveClients, "clients with persistent connections")
      ->check(CLI::Range(0, 500));
  app.add_option("--requests-per-second", options.requestsPerSecond, "requests and streams");
  app.add_option("--lots-per-second", options.lotsPerSecond, "lots");
  app.add_option("--items", options.itemsPerLot, "mean number of items in a lot")->check(CLI::Range(1, 100));
  app.add_option("--item-bytes", options.itemBytes, "maximum bytes of an item's body");
  app.add_option("--shelf-share", options.unservedShare, "share of lots whose route has no workers")
      ->check(CLI::Range(0.0, 1.0));
  app.add_flag("--self-test", options.runsSelfTest, "inject violations on purpose: passes if all are detected");
  app.add_option("--log-level", options.logLevel, "log level of the processes");
}
void addPlatformOptions(CLI::App& app, PlatformOptions& options) {
  app.add_option("--at", options.at, "IP:PORT")->required();
  app.add_option("--seed", options.seed, "seed of its behavior");
  app.add_option("--calls-per-second", options.callsPerSecond,
                 "calls per second that it accepts from all nodes together");
  app.add_option("--lease-ms", options.leaseMs, "lease of the duties in ms");
  app.add_flag("--well", options.neverMisbehaves, "never misbehave");
}
}  // namespace

int runMain(int argc, char** argv) {
  CLI::App app("Runs tealshelf's own processes under faults and checks what clients see.", "tealshelf-soak");
  Options options;
  CommandLine line;
  addOptions(app, options, line);
  CLI::App platformApp("The stand-in platform, which each run starts itself.", platformCommand);
  PlatformOptions platform;
  addPlatformOptions(platformApp, platform);
  if (argc > 1 && string_view(argv[1]) == platformCommand) {
    CLI11_PARSE(platformApp, argc - 1, argv + 1);
    return runPlatform(platform);
  }
  CLI11_PARSE(app, argc, argv);
  options.faults = faultsNamed(line.faults);
  std::optional<ClosingFault> const closing = closingNamed(line.closing);
  if (!closing || (options.faults.empty() && line.faults != "none")) {
    std::cerr << "unknown fault name: " << (closing ? line.faults : line.closing) << "\n";
    return exitBadArguments;
  }
  options.closing = *closing;
  if (line.isShort) makeShort(app, options);
  provisionForTwoLosses(app, options);
  options.build = std::filesystem::absolute(options.build).string();
  options.directory = std::filesystem::absolute(options.directory).string();
  std::signal(SIGPIPE, SIG_IGN);
  initLogging(LogLevel::warning);
  if (options.seeds == 1) return runSeed(options);
  vector<std::uint64_t> failed;
  std::uint64_t const first = options.seed;
  for (int run = 0; run < options.seeds; ++run) {
    options.seed = first + static_cast<std::uint64_t>(run);
    if (!runInChild(options)) failed.push_back(options.seed);
  }
  std::cout << options.seeds << " runs, " << failed.size() << " failed";
  for (std::uint64_t const seed : failed) std::cout << " seed-" << seed;
  std::cout << std::endl;
  return failed.empty() ? 0 : exitFailed;
}

}  // namespace tealshelf::soak

int main(int argc, char** argv) {
  return tealshelf::soak::runMain(argc, argv);
}
