#pragma once
#include "wire/metrics_server.hpp"

#include <CLI/CLI.hpp>

namespace tealshelf {

constexpr string_view versionText = "tealshelf 0.1.0";

/// What a daemon does when it is told to end.
struct Daemon {
  std::function<void()> stop;    ///< takes no new work
  std::function<bool()> isIdle;  ///< true once nothing is under way
  Ms minShutdownTime{0};         ///< waits at least so long
  StatusPages pages;             ///< served beside the metrics
};

/// What the command line of a daemon tells.
struct DaemonOptions {
  string settingsPath;
  string logLevel = "info";
  int metricsPort = 0;  ///< 0: metrics aren't served
};
/// Adds the options of every daemon to a command line.
void addOptions(CLI::App& app, DaemonOptions& options);

/// Reads the settings file, runs a daemon until SIGTERM or SIGINT, and gives its exit status. `start` starts the daemon
/// and fills in how it ends.
int runDaemon(DaemonOptions const& options, std::function<void(asio::io_context&, Settings const&, Daemon&)> start);

}  // namespace tealshelf
