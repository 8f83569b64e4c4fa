#include "apps/daemon.hpp"
#include "edge/edge_node.hpp"
#include "lots/store_node.hpp"

namespace {
using namespace tealshelf;

void startEdge(asio::io_context& io, Settings const& settings, Daemon& daemon) {
  std::shared_ptr<EdgeNode> const node = std::make_shared<EdgeNode>(io, settings);
  node->start();
  daemon.stop = [node] { node->stop(); };
  daemon.isIdle = [node] { return node->activeRequests() == 0; };
  daemon.pages[string(prefixesPath)] = [node] { return node->prefixes().json(); };
  daemon.minShutdownTime = settings.bounds.grace / 4;
}

void startStore(asio::io_context& io, Settings const& settings, Daemon& daemon) {
  std::shared_ptr<StoreNode> const node = std::make_shared<StoreNode>(io, settings);
  node->start();
  daemon.stop = [node] { node->stop(); };
  daemon.isIdle = [] { return true; };
  daemon.minShutdownTime = settings.bounds.inTouch / 6;
}
}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "The data plane of tealshelf: edge nodes that route requests to workers, and store nodes that hold lots.",
      "tealshelf-data-plane");
  app.set_version_flag("--version", string(versionText));
  DaemonOptions options;
  addOptions(app, options);
  CLI::App* const edge = app.add_subcommand("edge", "run an edge node, which serves clients");
  app.add_subcommand("store", "run a store node, which holds replicas of lots");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  return runDaemon(options, edge->parsed() ? startEdge : startStore);
}
