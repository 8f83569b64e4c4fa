#pragma once
#include "base/tealshelf.hpp"

#include <sys/types.h>

namespace tealshelf::soak {

struct EnvironmentValue {
  string name, value;
};

/// One child process. It dies with its parent, and with this object.
class ChildProcess {
 public:
  ChildProcess() = default;
  ~ChildProcess() { killAndWait(); }
  ChildProcess(ChildProcess const&) = delete;
  ChildProcess& operator=(ChildProcess const&) = delete;

  /// Starts a program; what it prints is added to a file. Throws std::runtime_error if no process can be made.
  void start(vector<string> const& command, vector<EnvironmentValue> const& environment, string const& logPath);
  bool isRunning() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }
  void signal(int number) const;
  /// Kills the process, a stopped one too, and waits until it is gone.
  void killAndWait();
  /// How long its main thread was ready to run and waited for a core since it began; 0 if the kernel doesn't tell.
  Ms runQueueWait() const;
  /// How the process ended by itself, if it did since the last look.
  std::optional<string> pollExit();

 private:
  pid_t pid_ = 0;
};

}  // namespace tealshelf::soak
