#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf::soak {

/// The troubles that a run draws from; docs/soak.md says what each does.
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

/// What is killed in the moment in which the disks of the closing fault are lost.
enum class ClosingFault {
  none,     ///< there is no closing fault
  any,      ///< drawn by the seed
  alone,    ///< nothing else
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

/// What a run is made of; the command line sets it.
struct Options {
  string build;      ///< folder of the programs
  string directory;  ///< a run keeps settings files, disks and logs in a folder of its own below
  std::uint64_t seed = 1;
  int seeds = 1;     ///< runs, one after the other, with rising seeds
  int seconds = 60;  ///< of faults; start, repair and the last checks come on top
  bool keepAlways = false;
  int controls = 3, forwarders = 1, plainEdges = 1, stores = 4, zones = 3;
  int survive = 1;
  int modelWorkers = 4, appWorkers = 2;
  int storeDiskMb = 8, controlDiskMb = 64;
  int keepAliveClients = 8;  ///< that hold on to their connections
  double requestsPerSecond = 25, lotsPerSecond = 1.5;
  int itemsPerLot = 16, itemBytes = 6000;
  double unservedShare = 0.25;  ///< of the lots: nobody serves their route, so that their items wait for good
  Ms changePause{400};          ///< between two changes of the configuration
  int faultsAtOnce = 3;
  ClosingFault closing = ClosingFault::any;
  string logLevel = "info";
  vector<FaultKind> faults;
  bool runsSelfTest = false;  ///< the soak breaks what it checks on purpose: see SelfTest
};

}  // namespace tealshelf::soak
