#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

constexpr string_view versionText = "tealshelf 0.1.0";

/// What a daemon does when it is told to end.
struct Daemon {
  std::function<void()> stop;  ///< stops taking new work
  std::function<bool()> idle;  ///< true once nothing is under way
  Ms least{0};                 ///< waits at least so long
};
/// Reads the settings file, runs the daemon until SIGTERM, and gives its exit code.
int runDaemon(string const& settingsPath, string const& level,
              std::function<void(asio::io_context&, Settings const&, Daemon&)> start);

}  // namespace tealshelf
