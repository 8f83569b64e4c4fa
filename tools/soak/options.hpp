#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// Kinds of injected faults; docs/soak.md describes them.
enum class FaultKind {
  killNode,
  pauseNode,
  loseDisk,
  killAllControl,
  killAllStores,
  coreCut,
  split,
  edgeCut,
  loseAnswers,
  workerCrash,
  terminate,
  hangUp,
  evacuate
};

struct FaultName {
  FaultKind kind;
  string_view name;
};
constexpr std::array<FaultName, 13> faultNames{{{FaultKind::killNode, "kill"},
                                                {FaultKind::pauseNode, "pause"},
                                                {FaultKind::loseDisk, "disk"},
                                                {FaultKind::killAllControl, "all-control"},
                                                {FaultKind::killAllStores, "all-stores"},
                                                {FaultKind::coreCut, "core-cut"},
                                                {FaultKind::split, "split"},
                                                {FaultKind::edgeCut, "edge-cut"},
                                                {FaultKind::loseAnswers, "lost-answers"},
                                                {FaultKind::workerCrash, "worker-crash"},
                                                {FaultKind::terminate, "term"},
                                                {FaultKind::hangUp, "hup"},
                                                {FaultKind::evacuate, "evacuate"}}};

inline string_view nameOf(FaultKind kind) {
  for (FaultName const& known : faultNames)
    if (known.kind == kind) return known.name;
  return "";
}

/// Which other processes are killed at the moment of the disk losses that end the fault phase.
enum class ClosingFault {
  none,     ///< no closing fault
  any,      ///< drawn from the seed
  alone,    ///< no other process
  counted,  ///< all other processes with a disk
  everyone  ///< all other processes of all machines
};

struct ClosingName {
  ClosingFault closing;
  string_view name;
};
constexpr std::array<ClosingName, 5> closingNames{{{ClosingFault::none, "none"},
                                                   {ClosingFault::any, "any"},
                                                   {ClosingFault::alone, "alone"},
                                                   {ClosingFault::counted, "counted"},
                                                   {ClosingFault::everyone, "everyone"}}};

/// Settings of a run, from the command line.
struct Options {
  string build;      ///< build folder with the programs
  string directory;  ///< each run keeps settings files, disks and logs in a subfolder
  std::uint64_t seed = 1;
  int seeds = 1;     ///< number of consecutive runs, with increasing seeds
  int seconds = 60;  ///< fault phase only, without start, recovery and final checks
  bool keepAlways = false;
  int controls = 3, forwarders = 1, plainEdges = 1, stores = 4, zones = 3;
  int survive = 1;
  int modelWorkers = 4, appWorkers = 2;
  int storeDiskMb = 8, controlDiskMb = 64;
  int keepAliveClients = 8;  ///< clients with persistent connections
  double requestsPerSecond = 25, lotsPerSecond = 1.5;
  int itemsPerLot = 16, itemBytes = 6000;
  double unservedShare = 0.25;  ///< share of lots without workers, whose items stay queued
  Ms changePause{400};          ///< between two configuration changes
  int faultsAtOnce = 3;
  ClosingFault closing = ClosingFault::any;
  string logLevel = "info";
  vector<FaultKind> faults;
  bool runsSelfTest = false;  ///< injects violations that the checks must detect: see SelfTest
};

}  // namespace tealshelf::soak
