#include "apps/run.hpp"
#include "control/control_node.hpp"

#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  using namespace tealshelf;
  CLI::App app("The control plane of tealshelf: configuration, register of workers, members, holds, lots and stamps.",
               "tealshelf-control-plane");
  app.set_version_flag("--version", string(versionText));
  string settingsPath, level = "info";
  app.add_option("--settings", settingsPath, "the settings file (else TEALSHELF_BOOT, else /etc/tealshelf/boot.conf)");
  app.add_option("--log-level", level, "debug, info, warning or error");
  app.add_subcommand("serve", "serve workers, operators and the other nodes");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  return runDaemon(settingsPath, level, [&](asio::io_context& io, Settings const& settings, Daemon& d) {
    std::shared_ptr<ControlNode> const n = std::make_shared<ControlNode>(io, settings);
    n->start();
    d.stop = [n] { n->stop(); };
    d.idle = [] { return true; };
    d.least = Ms(settings.bounds.inTouch / 6);
  });
}
