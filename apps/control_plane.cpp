#include "apps/daemon.hpp"
#include "apps/status_reader.hpp"
#include "control/control_node.hpp"

int main(int argc, char** argv) {
  using namespace tealshelf;
  CLI::App app(
      "The control plane of tealshelf: configuration, registry of workers, membership, leases, and records of lots.",
      "tealshelf-control-plane");
  app.set_version_flag("--version", string(versionText));
  DaemonOptions options;
  addOptions(app, options);
  app.add_subcommand("serve", "run a control node for workers, operators and the other nodes");
  addStatusCommands(app);
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  if (!app.got_subcommand("serve")) return 0;
  return runDaemon(options, [&](asio::io_context& io, Settings const& settings, Daemon& daemon) {
    std::shared_ptr<ControlNode> const node = std::make_shared<ControlNode>(io, settings);
    node->start();
    daemon.stop = [node] { node->stop(); };
    daemon.isIdle = [] { return true; };
    daemon.pages[string(rolloutsPage)] = [node] { return node->rolloutReport(); };
    daemon.pages[string(tenantsPage)] = [node] { return node->tenantReport(); };
    daemon.pages[string(lotsPage)] = [node] { return node->waitingLotsReport(); };
    daemon.pages[string(dutiesPage)] = [node] { return node->dutyReport(); };
    daemon.pages[string(talliesPage)] = [node] { return node->tallyReport(); };
    daemon.minShutdownTime = settings.bounds.inTouch / 6;
  });
}
