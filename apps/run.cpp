#include "apps/run.hpp"

#include "wire/rpc.hpp"

#include <csignal>
#include <iostream>

namespace tealshelf {

namespace {
Task<void> ending(asio::io_context& io, Settings const& settings, Daemon& d) {
  Moment const t = Clock::now();
  d.stop();
  while (Clock::now() - t < d.least || (!d.idle() && Clock::now() - t < Ms(settings.bounds.grace * 9 / 10)))
    co_await pause(Ms(settings.bounds.step / 4));
  io.stop();
}
}  // namespace

int runDaemon(string const& settingsPath, string const& level,
              std::function<void(asio::io_context&, Settings const&, Daemon&)> start) {
  std::signal(SIGPIPE, SIG_IGN);
  Level l = Level::info;
  if (!readLevel(level, l)) {
    std::cerr << Error(Code::badArguments, "log level " + level).what() << "\n";
    return 2;
  }
  startLog(l);
  try {
    Settings const settings = loadSettings(settingsPath);
    for (string const& u : settings.unknown) tell("settings", "unknown field " + u + " is ignored");
    asio::io_context io(1);
    Daemon d;
    start(io, settings, d);
    asio::signal_set ends(io, SIGTERM, SIGINT), hup(io, SIGHUP);
    ends.async_wait([&](error_code e, int) {
      if (e) return;
      tell("run", "told to end");
      spawn(io, "ending", ending(io, settings, d));
    });
    std::function<void(error_code, int)> onHup = [&](error_code e, int) {
      if (e) return;
      try {
        loadSettings(settings.path);
        tell("settings", "the settings file was read again");
      } catch (Error const& x) {
        warn("settings", x.what());
      }
      hup.async_wait(onHup);
    };
    hup.async_wait(onHup);
    for (;;) {
      try {
        io.run();
        break;
      } catch (std::exception const& x) {
        say(Level::error, "run", x.what());
      }
    }
    tell("run", "ended");
    std::_Exit(0);
  } catch (Error const& x) {
    say(Level::error, "run", x.what());
    return exitStatusOf(x);
  } catch (std::exception const& x) {
    say(Level::error, "run", x.what());
    return 3;
  }
}

}  // namespace tealshelf
