#include "control/control_node.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

using namespace tealshelf;

namespace {
constexpr std::size_t nodeCount = 3;
string const folder = "/tmp/tealshelf-worker-directory";
string const worker = "/servers/i-1";

string workerIn(string const& state, int callCount) {
  return "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"v\",\"capacity\":8,\"state\":"
         "\"" +
         state + "\",\"warmupLeftMs\":0,\"callCount\":" + std::to_string(callCount) + "}";
}

/// Three control nodes on loopback, each on a context of its own, so that one can be frozen.
class ControlPlane {
 public:
  ControlPlane() {
    std::filesystem::remove_all(folder);
    for (std::size_t n = 0; n < nodeCount; ++n) nodes_.push_back(std::make_unique<Node>(settingsOf(n)));
    for (std::unique_ptr<Node> const& node : nodes_) node->control.start();
  }
  /// Starts a node again with its control state, but without its log of workers.
  void restartWithoutWorkers(std::size_t node) {
    Settings settings = nodes_[node]->settings;
    settings.firstBoot = false;
    nodes_[node].reset();
    std::filesystem::remove_all(settings.dataFolder + "/workers");
    nodes_[node] = std::make_unique<Node>(settings);
    nodes_[node]->control.start();
  }

  /// From now on it hears and says nothing; its connections stay.
  void freeze(std::size_t node) { nodes_[node]->frozen = true; }

  int call(std::size_t node, string const& verb, string const& path, string const& body) {
    http::response<http::string_body> response;
    bool ended = false;
    asio::co_spawn(client_, exchange(addressOf(node), verb, path, body, response),
                   [&ended](std::exception_ptr) { ended = true; });
    runUntil([&ended] { return ended; });
    return static_cast<int>(response.result_int());
  }
  /// Calls until an answer comes; false if none does.
  bool callUntil(int status, std::size_t node, string const& path, string const& body) {
    TimePoint const end = Clock::now() + limit;
    while (Clock::now() < end)
      if (call(node, "PUT", path, body) == status) return true;
    return false;
  }
  /// Asks a node for its registry until it names a worker; false if it never does.
  bool getsToKnow(std::size_t node, string const& id) {
    RpcClient rpc(client_, Ms(2000));
    TimePoint const end = Clock::now() + limit;
    bool known = false;
    while (!known && Clock::now() < end) {
      bool ended = false;
      asio::co_spawn(client_, rpc.call(nodes_[node]->settings.controlAddress(ip(node)), CompareRegistry(), Ms(1000)),
                     [&](std::exception_ptr failure, RegistryDifference difference) {
                       ended = true;
                       for (Worker const& worker : difference.workers) known = known || (!failure && worker.id == id);
                     });
      runUntil([&ended] { return ended; });
    }
    return known;
  }

 private:
  static constexpr Ms limit{20000};

  struct Node {
    explicit Node(Settings its) : settings(std::move(its)), control(io, settings) {}
    asio::io_context io{1};
    Settings settings;
    ControlNode control;
    bool frozen = false;
  };

  static string ip(std::size_t node) { return "127.0.0." + std::to_string(110 + node); }
  static Address addressOf(std::size_t node) { return {ip(node), 17748}; }
  static Settings settingsOf(std::size_t node) {
    Settings settings;
    settings.nodeName = "n-" + std::to_string(node);
    settings.ip = ip(node);
    settings.zone = "z";
    settings.firstInternalPort = 17740;
    settings.control = addressOf(node);
    settings.firstBoot = true;
    settings.surviveMachines = 1;
    settings.reportEvery = Ms(20000);
    // A node that is cut off finds out within a quarter of it, also on a busy machine.
    settings.bounds.inTouch = Ms(12000);
    settings.dataFolder = folder + "/" + settings.nodeName;
    std::filesystem::create_directories(settings.dataFolder);
    for (std::size_t seed = 0; seed < nodeCount; ++seed) settings.seeds.push_back(addressOf(seed));
    return settings;
  }

  static Task<void> exchange(Address to, string verb, string path, string body,
                             http::response<http::string_body>& response) {
    tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(endpointOf(to), asio::use_awaitable);
    http::request<http::string_body> request(http::string_to_verb(verb), path, 11);
    request.set("If-Match", "0");
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(socket, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    co_await http::async_read(socket, buffer, response, asio::use_awaitable);
  }

  void runUntil(std::function<bool()> const& done) {
    TimePoint const end = Clock::now() + limit;
    while (!done() && Clock::now() < end) {
      for (std::unique_ptr<Node> const& node : nodes_)
        if (!node->frozen) node->io.poll();
      client_.restart();
      client_.run_one_for(Ms(1));
    }
  }

  vector<std::unique_ptr<Node>> nodes_;
  asio::io_context client_{1};
};
}  // namespace

TEST_GROUP(workerDirectory){};

TEST(workerDirectory, aWorkerThatLeavesIsAcknowledgedOnceAMajorityKnows) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, worker, workerIn("ready", 1)));
  CHECK(plane.callUntil(200, 0, worker, workerIn("draining", 2)));
  LONGS_EQUAL(200, plane.call(0, "DELETE", worker, ""));
}
TEST(workerDirectory, aNodeThatWasJustCutOffAcknowledgesNoWorkerThatLeaves) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, worker, workerIn("ready", 1)));
  CHECK(plane.callUntil(200, 0, "/servers/i-2", workerIn("ready", 1)));
  plane.freeze(1);
  plane.freeze(2);
  // It still takes itself for one of the majority: a worker that stays is acknowledged.
  LONGS_EQUAL(200, plane.call(0, "PUT", "/servers/i-3", workerIn("ready", 1)));
  LONGS_EQUAL(503, plane.call(0, "PUT", worker, workerIn("draining", 2)));
  LONGS_EQUAL_TEXT(503, plane.call(0, "PUT", worker, workerIn("draining", 2)), "the same once more");
  LONGS_EQUAL(503, plane.call(0, "DELETE", "/servers/i-2", ""));
}
TEST(workerDirectory, oneFrozenNodeHoldsNoAcknowledgementUp) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, worker, workerIn("ready", 1)));
  plane.freeze(2);
  LONGS_EQUAL(200, plane.call(0, "PUT", worker, workerIn("draining", 2)));
}
TEST(workerDirectory, aNodeThatLostItsRegistryFetchesIt) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, worker, workerIn("ready", 1)));
  CHECK(plane.callUntil(200, 1, "/servers/i-2", workerIn("ready", 1)));
  plane.restartWithoutWorkers(2);
  CHECK(plane.getsToKnow(2, "i-1"));
  CHECK(plane.getsToKnow(2, "i-2"));
}
