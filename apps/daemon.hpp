#pragma once
#include "wire/metrics_server.hpp"

#include <CLI/CLI.hpp>

namespace tealshelf {

constexpr string_view versionText = "tealshelf 0.1.0";

/// How a daemon shuts down, and its status pages.
struct Daemon {
  std::function<void()> stop;    ///< stops accepting work
  std::function<bool()> isIdle;  ///< true once no work is in progress
  Ms minShutdownTime{0};         ///< minimum time from `stop` to the end of the process
  StatusPages pages;             ///< served by the metrics server
};

/// Command-line options of a daemon.
struct DaemonOptions {
  string settingsPath;
  string logLevel = "info";
  int metricsPort = 0;  ///< 0: no metrics server
};
/// Adds the options of every daemon to a command line.
void addOptions(CLI::App& app, DaemonOptions& options);

/// Reads the settings file, runs a daemon until SIGTERM or SIGINT, and returns its exit status. `start` starts the
/// daemon and fills in the `Daemon`.
int runDaemon(DaemonOptions const& options, std::function<void(asio::io_context&, Settings const&, Daemon&)> start);

}  // namespace tealshelf
