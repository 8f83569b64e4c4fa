#include "apps/daemon.hpp"

#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>
#include <fstream>

using namespace tealshelf;

namespace {
/// Runs a daemon in a child process that gets a signal while it starts, and SIGTERM once it runs; returns its wait
/// status.
int statusOfDaemonSignalledAtStart(int signal) {
  string const path = "/tmp/tealshelf-daemon-test.conf";
  std::ofstream(path) << "nodeName=a-1\nrole=control\nipAddress=127.0.0.9\nzone=z\ninternalPorts=7000,7005\n"
                         "seedNodes=127.0.0.9:8000\nfirstBoot=true\nbounds.graceS=1\n";
  pid_t const child = ::fork();
  if (!child) {
    auto const start = [signal](asio::io_context& io, Settings const&, Daemon& daemon) {
      ::raise(signal);
      daemon.stop = [] {};
      daemon.isIdle = [] { return true; };
      asio::post(io, [] { ::raise(SIGTERM); });
    };
    ::_exit(runDaemon({path, "error"}, start));
  }
  int status = -1;
  ::waitpid(child, &status, 0);
  return status;
}
}  // namespace

/// A start may take long, as logs are replayed; signals may arrive meanwhile.
TEST_GROUP(daemon){};

TEST(daemon, aHangUpDuringTheStartDoesNotEndIt) {
  int const status = statusOfDaemonSignalledAtStart(SIGHUP);
  CHECK(WIFEXITED(status));
  LONGS_EQUAL(0, WEXITSTATUS(status));
}
TEST(daemon, aTerminationSignalDuringTheStartShutsItDownCleanly) {
  int const status = statusOfDaemonSignalledAtStart(SIGTERM);
  CHECK(WIFEXITED(status));
  LONGS_EQUAL(0, WEXITSTATUS(status));
}
