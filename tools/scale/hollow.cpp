// Hollow nodes and workers for the scale run: many to a process, they speak the real wire and keep
// the real control state, but carry no traffic. Built with the tests only.
#include "updates/fleet_view.hpp"
#include "wire/http.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace tealshelf;

namespace {
struct Hollow {
  Hollow(asio::io_context& io, Settings b)
      : settings(std::move(b)),
        rpc(io, Ms(settings.bounds.inTouch / 2)),
        server(io, settings.relayAddress(settings.ip), Ms(settings.bounds.inTouch / 2)),
        view(io, settings, rpc, "edge", settings.relayAddress(settings.ip)) {}
  Settings settings;
  RpcClient rpc;
  RpcServer server;
  FleetView view;
  std::uint64_t version = 0;
};

/// A worker that beats at a control node, and at the one that the answer names.
Task<void> beats(asio::io_context& io, Settings settings, string id, string zone, int n, std::uint64_t& sent,
                 std::uint64_t& failed) {
  Address to = settings.seeds[static_cast<std::size_t>(n) % settings.seeds.size()];
  co_await sleepFor(Ms((n * 37) % settings.reportEvery.count()));
  for (std::uint64_t count = 1;; ++count) {
    bool ok = false;
    tcp::socket s(io);
    SocketDeadline g(io, s);
    g.expireAt(Clock::now() + Ms(1000));
    error_code e;
    co_await s.async_connect({asio::ip::make_address(to.ip), static_cast<std::uint16_t>(to.port)},
                             asio::redirect_error(asio::use_awaitable, e));
    http::request<http::string_body> q(http::verb::put, "/servers/" + id, 11);
    q.set(http::field::host, to.text());
    q.set(http::field::connection, "close");
    q.body() = "{\"service\":\"app\",\"address\":\"127.100.0.1:9\",\"zone\":\"" + zone +
               "\",\"version\":\"v1\",\"capacity\":16,\"state\":\"ready\",\"warmupLeftMs\":0,\"callCount\":" +
               std::to_string(count) + "}";
    q.prepare_payload();
    if (!e) co_await http::async_write(s, q, asio::redirect_error(asio::use_awaitable, e));
    beast::flat_buffer b;
    http::response<http::string_body> r;
    if (!e) co_await http::async_read(s, b, r, asio::redirect_error(asio::use_awaitable, e));
    ok = !e && r.result_int() / 100 == 2;
    ++(ok ? sent : failed);
    if (ok) {
      std::size_t const p = r.body().find("\"reportTo\":\"");
      if (p != string::npos)
        to = parseAddress(string_view(r.body()).substr(p + 12, r.body().find('"', p + 12) - p - 12)).value_or(to);
    } else {
      to = settings.seeds[randomId() % settings.seeds.size()];
    }
    co_await sleepFor(settings.reportEvery);
  }
}
}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Hollow nodes and workers for the scale run; ends by itself.", "tealshelf-hollow");
  string settingsPath;
  int nodes = 0, workers = 0, first = 0, seconds = 10;
  app.add_option("--settings", settingsPath, "settings file of one node; names and addresses follow from it")
      ->required();
  app.add_option("--nodes", nodes, "hollow data-plane nodes")->check(CLI::Range(0, 1000));
  app.add_option("--workers", workers, "hollow workers")->check(CLI::Range(0, 2000));
  app.add_option("--first", first, "number of the first node and worker")->check(CLI::Range(0, 100000));
  app.add_option("--seconds", seconds, "how long")->check(CLI::Range(1, 600));
  CLI11_PARSE(app, argc, argv);
  initLogging(LogLevel::warning);
  try {
    Settings const settings = loadSettings(settingsPath);
    asio::io_context io(1);
    vector<string> zones;
    for (std::pair<string const, string> const& z : settings.zones) zones.push_back(z.first);
    vector<std::unique_ptr<Hollow>> all;
    for (int i = 0; i < nodes; ++i) {
      Settings b = settings;
      int const n = first + i;
      b.nodeName = "hollow-" + std::to_string(n);
      b.ip = "127.20." + std::to_string(n / 200) + "." + std::to_string(n % 200 + 1);
      b.zone = zones[static_cast<std::size_t>(n) % zones.size()];
      b.cpuFraction = n / static_cast<int>(zones.size()) % 10 == 0 ? 0.3 : 0.04;
      all.push_back(std::make_unique<Hollow>(io, std::move(b)));
      Hollow& h = *all.back();
      h.view.onUpdate = [&h] {
        if (!h.view.configuration() || h.view.configuration()->version == h.version) return;
        h.version = h.view.configuration()->version;
        std::cout << "configuration " << h.version << " " << h.settings.nodeName << " " << wallClockMs() << "\n";
      };
      h.view.start(h.server);
      h.server.start();
    }
    std::uint64_t sent = 0, failed = 0;
    for (int i = 0; i < workers; ++i)
      spawnTask(io, "worker",
                beats(io, settings, "w-" + std::to_string(first + i),
                      zones[static_cast<std::size_t>(first + i) % zones.size()], first + i, sent, failed));
    asio::steady_timer end(io, std::chrono::seconds(seconds));
    end.async_wait([&](error_code) { io.stop(); });
    io.run();
    std::uint64_t asks = 0, replies = 0, bytes = 0, held = 0, known = 0, ready = 0;
    for (std::unique_ptr<Hollow> const& h : all) {
      FleetView::Counts const c = h->view.counts();
      asks += c.requestsSent;
      replies += c.repliesSent;
      bytes += c.bytesSent;
      held = std::max(held, c.heldRequests);
      known += h->view.workers().size();
      ready += h->view.isFresh();
    }
    std::cout << "hollow nodes " << nodes << " fresh " << ready << " asks " << asks << " relayed " << replies
              << " relayedBytes " << bytes << " mostHeld " << held << " workersKnown "
              << (nodes ? known / static_cast<std::uint64_t>(nodes) : 0) << " beats " << sent << " beatsFailed "
              << failed << std::endl;
    std::_Exit(0);
  } catch (std::exception const& x) {
    std::cerr << "hollow: " << x.what() << "\n";
    return 2;
  }
}
