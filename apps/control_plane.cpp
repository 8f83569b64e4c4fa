#include "apps/daemon.hpp"
#include "control/control_node.hpp"

#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  using namespace tealshelf;
  CLI::App app(
      "The control plane of tealshelf: configuration, registry of workers, members, leases, lots and their stamps.",
      "tealshelf-control-plane");
  app.set_version_flag("--version", string(versionText));
  string settingsPath, logLevel = "info";
  app.add_option("--settings", settingsPath, "the settings file (else TEALSHELF_BOOT, else /etc/tealshelf/boot.conf)");
  app.add_option("--log-level", logLevel, "debug, info, warning or error");
  app.add_subcommand("serve", "serve workers, operators and the other nodes");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  return runDaemon(settingsPath, logLevel, [&](asio::io_context& io, Settings const& settings, Daemon& daemon) {
    std::shared_ptr<ControlNode> const node = std::make_shared<ControlNode>(io, settings);
    node->start();
    daemon.stop = [node] { node->stop(); };
    daemon.isIdle = [] { return true; };
    daemon.minStopTime = settings.bounds.inTouch / 6;
  });
}
