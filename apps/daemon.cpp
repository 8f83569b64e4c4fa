#include "apps/daemon.hpp"

#include "apps/exit_codes.hpp"
#include "base/invariant_metrics.hpp"
#include "wire/rpc_traffic.hpp"
#include "wire/tasks.hpp"

#include <csignal>
#include <iostream>

namespace tealshelf {

namespace {
constexpr int maxPort = 65535;

/// Lets the daemon finish what is under way, for nine tenths of the grace at the most.
Task<void> shutDown(asio::io_context& io, Settings const& settings, Daemon& daemon) {
  TimePoint const startedAt = Clock::now();
  Ms const limit = settings.bounds.grace * 9 / 10;
  daemon.stop();
  for (;;) {
    auto const elapsed = Clock::now() - startedAt;
    bool const waits = elapsed < daemon.minShutdownTime || (!daemon.isIdle() && elapsed < limit);
    if (!waits) break;
    co_await sleepFor(settings.bounds.step / 4);
  }
  io.stop();
}

/// Checks the settings file again at each SIGHUP; its values count from the next start on.
void recheckSettingsOnHangUp(asio::signal_set& signals, Settings const& settings) {
  signals.async_wait([&](error_code error, int) {
    if (error) return;
    try {
      loadSettings(settings.path);
      logInfo("settings", "the settings file was read again");
    } catch (std::exception const& fault) {
      logWarning("settings", fault.what());
    }
    recheckSettingsOnHangUp(signals, settings);
  });
}

/// Logs what went between this process and others, for debugging.
Task<void> logTraffic(Ms period) {
  for (;;) {
    co_await sleepFor(period);
    string const summary = rpcTraffic().summary(static_cast<double>(period.count()) / 1000);
    if (!summary.empty()) logDebug("rpc", summary);
  }
}

/// Runs until the context is stopped; what a handler throws ends no process.
void runUntilStopped(asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (std::exception const& error) {
      logError("run", error.what());
    }
  }
}
}  // namespace

void addOptions(CLI::App& app, DaemonOptions& options) {
  app.add_option("--settings", options.settingsPath,
                 "the settings file (else TEALSHELF_BOOT, else /etc/tealshelf/boot.conf)");
  app.add_option("--log-level", options.logLevel, "debug, info, warning or error");
  app.add_option("--metrics-port", options.metricsPort, "serve GET /metrics at this port of the machine's address")
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
    for (string const& bound : settings.weakBounds()) logInfo("settings", bound);
    for (string const& field : settings.unknownFields) logInfo("settings", "unknown field " + field + " is ignored");
    asio::io_context io(1);
    // Before the start, which may take long: a signal that comes meanwhile is kept until then.
    asio::signal_set endSignals(io, SIGTERM, SIGINT), hangUpSignals(io, SIGHUP);
    Daemon daemon;
    rpcTraffic().setOwnZone(settings.zone);
    start(io, settings, daemon);
    InvariantMetrics const invariantMetrics;
    std::optional<MetricsServer> metricsServer;
    if (options.metricsPort)
      metricsServer.emplace(io, Address{settings.ip, options.metricsPort}, 5 * settings.bounds.inTouch, metrics(),
                            daemon.pages);
    endSignals.async_wait([&](error_code error, int) {
      if (error) return;
      logInfo("run", "told to end");
      spawnTask(io, "shutdown", shutDown(io, settings, daemon));
    });
    recheckSettingsOnHangUp(hangUpSignals, settings);
    if (level == LogLevel::debug) spawnTask(io, "traffic log", logTraffic(settings.bounds.inTouch));
    runUntilStopped(io);
    logInfo("run", "ended");
    // Tasks that are still under way would outlive what they refer to.
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
