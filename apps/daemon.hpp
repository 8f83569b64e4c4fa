#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

constexpr string_view versionText = "tealshelf 0.1.0";

/// What a daemon does when it is told to end.
struct Daemon {
  std::function<void()> stop;    ///< takes no new work
  std::function<bool()> isIdle;  ///< true once nothing is under way
  Ms minStopTime{0};             ///< waits at least so long
};

/// Reads the settings file, runs a daemon until SIGTERM or SIGINT, and gives its exit status. `start` starts the daemon
/// and fills in how it ends.
int runDaemon(string const& settingsPath, string const& logLevel,
              std::function<void(asio::io_context&, Settings const&, Daemon&)> start);

}  // namespace tealshelf
