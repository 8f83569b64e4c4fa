#include "tools/soak/child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fstream>

#include <csignal>

namespace tealshelf::soak {

namespace {
constexpr int exitCannotRun = 127;

/// Runs in the child between fork and exec; makes only async-signal-safe calls.
[[noreturn]] void becomeProgram(char* const* arguments, char* const* environment, int log, pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(exitCannotRun);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  // Children must not inherit the sockets of the soak.
  ::close_range(STDERR_FILENO + 1, ~0u, 0);
  ::execve(arguments[0], arguments, environment);
  ::_exit(exitCannotRun);
}

vector<char*> pointersTo(vector<string>& texts) {
  vector<char*> pointers;
  for (string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

string describeEnd(int status) {
  if (WIFEXITED(status)) return "exit status " + std::to_string(WEXITSTATUS(status));
  return "signal " + std::to_string(WTERMSIG(status));
}
}  // namespace

void ChildProcess::start(vector<string> const& command, vector<EnvironmentValue> const& environment,
                         string const& logPath) {
  killAndWait();
  vector<string> arguments = command, variables;
  for (EnvironmentValue const& value : environment) variables.push_back(value.name + "=" + value.value);
  vector<char*> const argumentPointers = pointersTo(arguments), variablePointers = pointersTo(variables);
  int const log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) throw std::runtime_error("can't write " + logPath);
  pid_t const parent = ::getpid();
  pid_t const child = ::fork();
  if (child == 0) becomeProgram(argumentPointers.data(), variablePointers.data(), log, parent);
  ::close(log);
  if (child < 0) throw std::runtime_error("can't start " + command[0]);
  pid_ = child;
}

void ChildProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

void ChildProcess::killAndWait() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
  }
  pid_ = 0;
}

Ms ChildProcess::runQueueWait() const {
  std::ifstream scheduling("/proc/" + std::to_string(pid_) + "/schedstat");
  std::uint64_t ranNs = 0, waitedNs = 0;
  if (pid_ <= 0 || !(scheduling >> ranNs >> waitedNs)) return Ms(0);
  return std::chrono::duration_cast<Ms>(std::chrono::nanoseconds(waitedNs));
}

std::optional<string> ChildProcess::pollExit() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  return describeEnd(status);
}

}  // namespace tealshelf::soak
