#include "apps/daemon.hpp"

#include "apps/exit_codes.hpp"
#include "base/invariant_metrics.hpp"
#include "wire/overload_manager.hpp"
#include "wire/rpc_traffic.hpp"
#include "wire/tasks.hpp"

#include <malloc.h>

#include <csignal>
#include <iostream>

namespace tealshelf {

namespace {
constexpr int maxPort = 65535;
/// Blocks from the first size on, and free memory at the end of the heap from the second on, go back to the system. By
/// default these sizes grow with use, and the freed blocks of large bodies stay in the process.
constexpr int mappedBlockBytes = 1 << 20, trimmedHeapBytes = 4 << 20;

/// Stops the daemon and waits for work in progress, for at most nine tenths of the grace period.
Task<void> shutDown(asio::io_context& io, Settings const& settings, Daemon& daemon) {
  TimePoint const startedAt = Clock::now();
  Ms const limit = settings.bounds.grace * 9 / 10;
  daemon.stop();
  for (;;) {
    auto const elapsed = Clock::now() - startedAt;
    bool const mustWait = elapsed < daemon.minShutdownTime || (!daemon.isIdle() && elapsed < limit);
    if (!mustWait) break;
    co_await sleepFor(settings.bounds.step / 4);
  }
  io.stop();
}

/// Validates the settings file at each SIGHUP. Its values take effect at the next start.
void validateSettingsOnHangUp(asio::signal_set& signals, Settings const& settings) {
  signals.async_wait([&](error_code failure, int) {
    if (failure) return;
    try {
      loadSettings(settings.path);
      logInfo("settings", "the settings file is valid; changed values take effect at the next start");
    } catch (std::exception const& error) {
      logWarning("settings", error.what());
    }
    validateSettingsOnHangUp(signals, settings);
  });
}

/// Logs the RPC traffic of this process periodically, for debugging.
Task<void> logTraffic(Ms period) {
  for (;;) {
    co_await sleepFor(period);
    string const summary = rpcTraffic().summary(static_cast<double>(period.count()) / 1000);
    if (!summary.empty()) logDebug("rpc", summary);
  }
}

/// Runs until the context is stopped. An exception from a handler is logged and doesn't end the process.
void runUntilStopped(asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (std::exception const& error) {
      logError("run", string("a handler threw an exception: ") + error.what());
    }
  }
}
}  // namespace

void addOptions(CLI::App& app, DaemonOptions& options) {
  app.add_option("--settings", options.settingsPath,
                 "the settings file (default: $TEALSHELF_BOOT, or /etc/tealshelf/boot.conf)");
  app.add_option("--log-level", options.logLevel, "debug, info, warning or error");
  app.add_option("--metrics-port", options.metricsPort, "serve GET /metrics on this port of the node's IP address")
      ->check(CLI::Range(1, maxPort));
}

int runDaemon(DaemonOptions const& options, std::function<void(asio::io_context&, Settings const&, Daemon&)> start) {
  std::signal(SIGPIPE, SIG_IGN);
  LogLevel level = LogLevel::info;
  if (!parseLogLevel(options.logLevel, level)) {
    std::cerr << Error(ErrorCode::badArguments, "log level " + options.logLevel).what() << "\n";
    return exitBadArguments;
  }
  initLogging(level);
  try {
    Settings const settings = loadSettings(options.settingsPath);
    for (string const& bound : settings.infeasibleBounds()) logInfo("settings", bound);
    for (string const& field : settings.unknownFields)
      logInfo("settings", "ignoring unknown field " + field + " of the settings file");
    asio::io_context io(1);
    // Before the start, which may take long: signals that arrive meanwhile stay pending.
    asio::signal_set terminationSignals(io, SIGTERM, SIGINT), hangUpSignals(io, SIGHUP);
    Daemon daemon;
    rpcTraffic().setOwnZone(settings.zone);
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, trimmedHeapBytes);
    overloadManager().setLimits(PeerLimits::from(settings));
    start(io, settings, daemon);
    InvariantMetrics const invariantMetrics;
    std::optional<MetricsServer> metricsServer;
    if (options.metricsPort)
      metricsServer.emplace(io, Address{settings.ip, options.metricsPort}, 5 * settings.bounds.inTouch, metrics(),
                            daemon.pages);
    terminationSignals.async_wait([&](error_code error, int) {
      if (error) return;
      logInfo("run", "received a termination signal; shutting down");
      spawnTask(io, "shutdown", shutDown(io, settings, daemon));
    });
    validateSettingsOnHangUp(hangUpSignals, settings);
    if (level == LogLevel::debug) spawnTask(io, "traffic log", logTraffic(settings.bounds.inTouch));
    runUntilStopped(io);
    logInfo("run", "shutdown is complete");
    // Skips destructors, as suspended tasks would outlive the objects that they refer to.
    std::_Exit(0);
  } catch (Error const& error) {
    logError("run", error.what());
    return exitStatusOf(error);
  } catch (std::exception const& error) {
    logError("run", error.what());
    return exitFailure;
  }
}

}  // namespace tealshelf
