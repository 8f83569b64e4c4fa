#pragma once
#include "tests/processes/worker_thread.hpp"
#include "tools/soak/child_process.hpp"

namespace tealshelf {

/// The limits of the processes and of their clients in a test; small, so that a small crowd reaches them.
struct RigLimits {
  int memoryMb = 64;
  int openFiles = 4100;
  std::size_t maxBodyBytes = 2u << 20;
  std::size_t maxHeaderBytes = 16384;
  int headerWaitMs = 3000;
  int idleLimitMs = 15000;
};

/// What a process holds.
struct ProcessUse {
  std::size_t peakBytes = 0;    ///< the largest resident set (VmHWM)
  std::size_t unreadBytes = 0;  ///< that arrived at its listeners but weren't read
  std::size_t residentBytes = 0;
  std::size_t descriptors = 0;
};

/// A control node, an edge node and a store node: real processes on loopback addresses, with a worker in this process.
class ProcessRig {
 public:
  static constexpr int outsidePort = 8144, readinessPort = 8140, controlPort = 8146, firstInternalPort = 7660,
                       metricsPort = 7665;

  explicit ProcessRig(RigLimits const& limits = {});
  ~ProcessRig();
  ProcessRig(ProcessRig const&) = delete;
  ProcessRig& operator=(ProcessRig const&) = delete;

  enum class Role { control, edge, store };
  string ipOf(Role role) const;
  Address outside() const { return {ipOf(Role::edge), outsidePort}; }
  Address readiness() const { return {ipOf(Role::edge), readinessPort}; }
  Address control() const { return {ipOf(Role::control), controlPort}; }
  Address metricsOf(Role role) const { return {ipOf(role), metricsPort}; }
  Address internalOf(Role role) const;
  RigLimits const& limits() const { return limits_; }
  WorkerThread& worker() { return worker_; }

  bool isAlive(Role role);
  ProcessUse useOf(Role role) const;
  /// Sends an ordinary request until it is answered with 200; false if that takes over 20 s.
  bool servesOrdinaryRequest() const;
  /// Calls until the status is returned; false if that takes over 20 s.
  static bool answersWith(int status, Address const& to, string const& request);
  string ordinaryRequest() const;
  string configuration() const;

 private:
  struct Process {
    Role role;
    string name;
    soak::ChildProcess child;
  };
  void startAll();
  Process& process(Role role) const { return *processes_[static_cast<std::size_t>(role)]; }
  string settingsText(Role role, string const& name) const;
  void configure() const;

  RigLimits limits_;
  string folder_, network_;
  WorkerThread worker_;
  vector<std::unique_ptr<Process>> processes_;
};

}  // namespace tealshelf
