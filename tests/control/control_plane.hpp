#pragma once
#include "control/control_node.hpp"
#include "tests/wire/loopback.hpp"

#include <filesystem>

namespace tealshelf {

/// Three control nodes on loopback addresses, each with its own io_context, so that one can be frozen.
class ControlPlane {
 public:
  static constexpr std::size_t nodeCount = 3;

  /// A partitioned node notices within a quarter of `inTouch`; the default leaves time on a busy machine.
  explicit ControlPlane(Ms inTouch = Ms(12000)) {
    std::filesystem::remove_all(folder());
    for (std::size_t n = 0; n < nodeCount; ++n) nodes_.push_back(std::make_unique<Node>(settingsOf(n, inTouch)));
    for (std::unique_ptr<Node> const& node : nodes_) node->control.start();
  }
  /// Restarts a node with its control state, but without its log of workers.
  void restartWithoutWorkers(std::size_t node) {
    Settings settings = nodes_[node]->settings;
    settings.firstBoot = false;
    nodes_[node].reset();
    std::filesystem::remove_all(settings.dataFolder + "/workers");
    nodes_[node] = std::make_unique<Node>(settings);
    nodes_[node]->control.start();
  }

  /// From now on the node receives and sends nothing; its connections stay open.
  void freeze(std::size_t node) { nodes_[node]->frozen = true; }

  int call(std::size_t node, string const& verb, string const& path, string const& body) {
    return static_cast<int>(exchangeWith(node, verb, path, body).result_int());
  }
  /// Reads a path until the body is the expected one; returns the last body.
  string bodyUntil(string const& expected, std::size_t node, string const& path) {
    TimePoint const end = Clock::now() + limit;
    string body;
    while (body != expected && Clock::now() < end) body = exchangeWith(node, "GET", path, "").body();
    return body;
  }
  /// Repeats a call until it returns a status; false if it never does.
  bool callUntil(int status, std::size_t node, string const& path, string const& body, string const& verb = "PUT") {
    TimePoint const end = Clock::now() + limit;
    while (Clock::now() < end)
      if (call(node, verb, path, body) == status) return true;
    return false;
  }
  /// Reads a node's registry until it contains a worker; false if it never does.
  bool waitForWorker(std::size_t node, string const& id) {
    TimePoint const end = Clock::now() + limit;
    bool known = false;
    while (!known && Clock::now() < end)
      for (Worker const& worker : ask(node, CompareRegistry()).workers) known = known || worker.id == id;
    return known;
  }

  /// Takes credit at a node for one request to a worker that warms up.
  CreditVerdict takeWarmUpCredit(std::size_t node, string const& id) {
    return ask(node, TakeCredit{id, CreditKind::warmUp}).verdict;
  }
  /// Takes credits at a node until it counts for a worker; false if it never does.
  bool waitUntilCountsFor(std::size_t node, string const& id) {
    TimePoint const end = Clock::now() + limit;
    while (Clock::now() < end)
      if (takeWarmUpCredit(node, id) != CreditVerdict::notCounting) return true;
    return false;
  }
  /// Runs all nodes that aren't frozen.
  void run(Ms duration) {
    TimePoint const end = Clock::now() + duration;
    runUntil([end] { return Clock::now() >= end; });
  }
  /// The evacuation of a zone that a node publishes, once it has a revision.
  std::optional<Evacuation> evacuationFrom(std::size_t node, string const& zone, std::uint64_t revision) {
    TimePoint const end = Clock::now() + limit;
    std::optional<Evacuation> published;
    while (!(published && published->revision >= revision) && Clock::now() < end)
      published = publishedEvacuation(node, zone);
    return published;
  }
  /// The evacuation of a zone that a node publishes; nothing if it publishes none.
  std::optional<Evacuation> publishedEvacuation(std::size_t node, string const& zone) {
    UpdateRequest request;
    request.self.name = "e-1";
    request.self.zone = zone;
    request.isFirst = true;
    UpdateReply const reply = ask(node, request);
    if (reply.common.empty()) return std::nullopt;
    for (TableRow const& row : deserialize<TableDelta>(reply.common).rows)
      if (row.key == string(evacuationRowPrefix) + zone) return deserialize<Evacuation>(row.value);
    return std::nullopt;
  }

 private:
  static constexpr Ms limit{20000};

  template <class Message>
  typename Message::Reply ask(std::size_t node, Message message) {
    RpcClient rpc(client_, Ms(2000));
    typename Message::Reply answer;
    bool ended = false;
    asio::co_spawn(client_, rpc.call(nodes_[node]->settings.controlAddress(ip(node)), message, Ms(2000)),
                   [&](std::exception_ptr failure, typename Message::Reply reply) {
                     ended = true;
                     if (!failure) answer = std::move(reply);
                   });
    runUntil([&ended] { return ended; });
    return answer;
  }

  struct Node {
    explicit Node(Settings nodeSettings) : settings(std::move(nodeSettings)), control(io, settings) {}
    asio::io_context io{1};
    Settings settings;
    ControlNode control;
    bool frozen = false;
  };

  static string folder() { return "/tmp/tealshelf-control-" + std::to_string(::getpid()); }
  /// Differs by process, as test groups run in parallel.
  static string ip(std::size_t node) {
    string const own = loopbackOfThisProcess();
    return "127." + std::to_string(2 + node) + own.substr(own.find('.', own.find('.') + 1));
  }
  static Address addressOf(std::size_t node) { return {ip(node), 17748}; }
  static Settings settingsOf(std::size_t node, Ms inTouch) {
    Settings settings;
    settings.nodeName = "n-" + std::to_string(node);
    settings.ip = ip(node);
    settings.zone = "z";
    settings.zones["z"] = "r";
    settings.bounds.warmUpOverrun = 1.5;
    settings.bounds.warmUpMargin = 5;
    settings.firstInternalPort = 17740;
    settings.control = addressOf(node);
    settings.firstBoot = true;
    settings.surviveMachines = 1;
    settings.reportEvery = Ms(20000);
    settings.bounds.inTouch = inTouch;
    settings.dataFolder = folder() + "/" + settings.nodeName;
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

  http::response<http::string_body> exchangeWith(std::size_t node, string const& verb, string const& path,
                                                 string const& body) {
    http::response<http::string_body> response;
    bool ended = false;
    asio::co_spawn(client_, exchange(addressOf(node), verb, path, body, response),
                   [&ended](std::exception_ptr) { ended = true; });
    runUntil([&ended] { return ended; });
    return response;
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

}  // namespace tealshelf
