#pragma once
#include "base/tealshelf.hpp"

#include <sys/types.h>

namespace tealshelf::soak {

struct EnvironmentValue {
  string name, value;
};

/// One child process; it is killed when its parent exits or this object is destroyed.
class ChildProcess {
 public:
  ChildProcess() = default;
  ~ChildProcess() { killAndWait(); }
  ChildProcess(ChildProcess const&) = delete;
  ChildProcess& operator=(ChildProcess const&) = delete;

  /// Starts a program and appends its output to a file. Throws std::runtime_error if the process can't be started.
  void start(vector<string> const& command, vector<EnvironmentValue> const& environment, string const& logPath);
  bool isRunning() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }
  void signal(int number) const;
  /// Kills the process, even a stopped one, and waits for its exit.
  void killAndWait();
  /// Total time since its start for which the main thread was runnable and waited for a CPU; 0 if the kernel doesn't
  /// report it.
  Ms runQueueWait() const;
  /// Exit status or signal if the process has exited by itself since the last call.
  std::optional<string> pollExit();

 private:
  pid_t pid_ = 0;
};

}  // namespace tealshelf::soak
