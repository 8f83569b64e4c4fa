#include "apps/run.hpp"
#include "edge/edge_node.hpp"
#include "lots/store_node.hpp"

#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  using namespace tealshelf;
  CLI::App app("The data plane of tealshelf: takes requests in, or keeps lots.", "tealshelf-data-plane");
  app.set_version_flag("--version", string(versionText));
  string settingsPath, level = "info";
  app.add_option("--settings", settingsPath, "the settings file (else TEALSHELF_BOOT, else /etc/tealshelf/boot.conf)");
  app.add_option("--log-level", level, "debug, info, warning or error");
  CLI::App* const edge = app.add_subcommand("edge", "serve clients on an edge machine");
  app.add_subcommand("store", "keep lots on a storage machine");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  return runDaemon(settingsPath, level, [&](asio::io_context& io, Settings const& settings, Daemon& d) {
    if (edge->parsed()) {
      std::shared_ptr<EdgeNode> const n = std::make_shared<EdgeNode>(io, settings);
      n->start();
      d.stop = [n] { n->stop(); };
      d.idle = [n] { return n->live() == 0; };
      d.least = Ms(settings.bounds.grace / 4);
    } else {
      std::shared_ptr<StoreNode> const n = std::make_shared<StoreNode>(io, settings);
      n->start();
      d.stop = [n] { n->stop(); };
      d.idle = [] { return true; };
      d.least = Ms(settings.bounds.inTouch / 6);
    }
  });
}
