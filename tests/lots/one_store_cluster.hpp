#pragma once
#include "lots/store_node.hpp"
#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

/// A real store with stand-ins for its control node and for workers, on loopback.
namespace tealshelf {

inline constexpr std::size_t routedItemCount = 40;
inline constexpr int routedFirstPort = 17410, routedControlPort = routedFirstPort + 8;
inline string const routedHost = "shop.example", routedLotId = "lot", routedPrefix = "/night/";
/// Services, each with one worker.
inline string const ownService = "app", foreignService = "other";

struct RouteText {
  string name, host, prefix, service;
  string kind = "bulk";
};
inline RouteText const ownRoute{"night", routedHost, routedPrefix, ownService};

inline string routesConfiguration(std::uint64_t version, vector<RouteText> const& routes) {
  string list;
  for (RouteText const& route : routes)
    list += string(list.empty() ? "" : ",") + "{\"name\":\"" + route.name + "\",\"host\":\"" + route.host +
            "\",\"pathStart\":\"" + route.prefix + "\",\"kind\":\"" + route.kind +
            "\",\"timeLimitMs\":9000,\"targetMs\":500,\"priority\":2,\"service\":\"" + route.service +
            "\",\"tries\":3,\"dueInMs\":300,\"keepForS\":60,\"maxQueuedTokens\":0}";
  string services;
  for (string const& service : {ownService, foreignService})
    services += string(services.empty() ? "" : ",") + "{\"name\":\"" + service +
                "\",\"healthPath\":\"/h\",\"maxConnections\":100,\"protocol\":\"h1\",\"useTls\":false}";
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list + "],\"services\":[" + services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerWaitMs\":3000,\"idleLimitMs\":"
         "15000}}";
}

/// A worker that holds each request until it is released, and answers 503 while it is away.
struct HeldItemsWorker {
  HeldItemsWorker(asio::io_context& io, string const& ip, int port)
      : server(
            io, {ip, port}, [this](HttpCall call) { return run(std::move(call)); }, 1u << 20, Ms(5000)) {
    server.start();
  }
  Task<HttpReply> run(HttpCall call) {
    string const id = call.header("Attempt-Id");
    ++started;
    lastEventIds.insert(call.header("Last-Event-Id"));
    while (!isReleased && !isAway) co_await sleepFor(Ms(5));
    if (isAway) co_return HttpReply{503, "", "text/plain", {{"Attempt-Id", id}}};
    HttpReply reply{200, "id: 1\ndata: " + id + "\n\n", "text/event-stream", {}};
    reply.headers = {{"Attempt-Id", id}, {"Server-Seal", "s"}};
    co_return reply;
  }
  std::size_t started = 0;
  bool isReleased = false, isAway = false;
  std::set<string> lastEventIds;  ///< of all requests; "" if a request had none
  HttpServer server;
};

/// A store on loopback that is the only holder of its lots, with a worker for each of two services and a control node
/// that grants every lease and publishes the configurations of the test.
struct OneStoreCluster {
  explicit OneStoreCluster(vector<RouteText> const& routes)
      : control(io, settings.controlAddress(settings.ip), Ms(1000)),
        publisher(io, settings, 0),
        own(io, settings.ip, routedFirstPort + 9),
        foreign(io, settings.ip, routedFirstPort - 1),
        rpc(io, Ms(1000)) {
    std::filesystem::remove_all(settings.dataFolder);
    std::filesystem::create_directories(settings.dataFolder);
    store = std::make_unique<StoreNode>(io, settings);
    publisher.proof = [] { return UpdatePublisher::Proof{true, 0, Clock::now()}; };
    configure(routes);
    addWorker("i-own", ownService, routedFirstPort + 9);
    addWorker("i-foreign", foreignService, routedFirstPort - 1);
    control.on<UpdateRequest>([this](UpdateRequest request) {
      evidence.add(request.versionTallies);
      return publisher.serve(std::move(request));
    });
    control.on<ReportUsage>([this](ReportUsage report) -> Task<UsageReceipt> {
      loads = std::move(report.loads);
      co_return UsageReceipt{1, WindowNumber(0), wallClockMs()};
    });
    control.on<StoreHeartbeat>([this](StoreHeartbeat heartbeat) -> Task<StoreHeartbeatReply> {
      StoreHeartbeatReply reply;
      reply.granted = true;
      reply.process = 1;
      reply.revision = ++revision;
      reply.lots = records;
      reply.members.resize(1);
      reply.members[0].ip = settings.ip;
      holder = heartbeat.self;
      co_return reply;
    });
    control.start();
    store->start();
    CHECK(runUntil([this] { return holder.has_value(); }));
  }
  static Settings makeSettings() {
    Settings made;
    made.nodeName = "store-1";
    made.ip = loopbackOfThisProcess();
    made.firstInternalPort = routedFirstPort;
    made.seeds = {{made.ip, routedControlPort}};
    made.dataFolder = "/tmp/tealshelf-lot-routes-" + made.ip;
    made.bounds.inTouch = Ms(1200);
    made.bounds.step = Ms(40);
    made.bounds.applyWithin = Ms(400);
    made.surviveMachines = 0;
    made.provider.address = {made.ip, routedFirstPort - 2};
    made.bounds.reportWindow = Ms(200);
    return made;
  }
  void addWorker(string const& id, string const& service, int port) {
    Worker worker;
    worker.id = id;
    worker.service = service;
    worker.address = {settings.ip, port};
    worker.capacity = 8;
    publisher.common.put("w/" + id, serialize(worker));
  }
  void removeWorker(string const& id) {
    publisher.common.erase("w/" + id);
    publisher.notifyAfter(Ms(1));
  }
  /// Publishes the next configuration.
  void configure(vector<RouteText> const& routes) {
    ++version;
    publisher.setConfiguration(version, routesConfiguration(version, routes));
    publisher.notifyAfter(Ms(1));
  }
  /// Begins a rollout of the lot's service.
  void beginRollout() {
    RolloutRecord rollout;
    rollout.service = ownService;
    rollout.target = "v2";
    rollout.order = rollout.revision = 1;
    publisher.common.put(string(rolloutRowPrefix) + ownService, serialize(rollout));
    publisher.notifyAfter(Ms(1));
  }
  /// Runs until a condition holds; false if it doesn't in time.
  bool runUntil(std::function<bool()> const& condition, Ms limit = Ms(8000)) {
    TimePoint const end = Clock::now() + limit;
    while (!condition() && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(5));
    }
    return condition();
  }
  void runFor(Ms duration) {
    runUntil([] { return false; }, duration);
  }
  /// Creates a lot, as an edge node does with the lot's own route; `change` alters the record.
  void submit(std::function<void(LotRecord&)> const& change = {}) {
    LotRecord lot;
    lot.id = routedLotId;
    lot.host = routedHost;
    lot.route = ownRoute.name;
    lot.routePrefix = routedPrefix;
    lot.configurationVersion = version;
    lot.itemCount = routedItemCount;
    lot.submittedAtMs = wallClockMs();
    lot.dueInMs = 300;
    lot.keepForMs = 60000;
    lot.state = LotState::accepted;
    lot.stamp = GenerationStamp(1);
    lot.holders = {*holder};
    if (change) change(lot);
    string const path = (lot.routePrefix.empty() ? routedPrefix : lot.routePrefix) + "x";
    vector<ItemRecord> items;
    for (std::size_t number = 0; number < routedItemCount; ++number)
      items.push_back({lot.id + "-" + std::to_string(number), path, "b", {}, 10});
    bool created = false;
    asio::co_spawn(io, rpc.call(holder->address, CreateReplica{lot, serialize(items), {}, false}, Ms(1000)),
                   [&created](std::exception_ptr failure, Acknowledgement) { created = !failure; });
    CHECK(runUntil([&created] { return created; }));
    records.push_back(lot);
  }
  void release() { own.isReleased = foreign.isReleased = true; }
  /// The last reported backlog of a service, in slots.
  double backlogOf(string const& service) const {
    for (ServiceLoad const& load : loads)
      if (load.service == service) return load.backlog;
    return 0;
  }
  /// The listed results of a lot, by default the first.
  vector<ResultRecord> results(std::size_t lot = 0) {
    std::optional<ReadResultsReply> reply;
    bool done = false;
    asio::co_spawn(
        io,
        rpc.call(holder->address, ReadResults{routedHost, records.at(lot).id, records.at(lot).stamp, 0, 1u << 20, 0},
                 Ms(1000)),
        [&reply, &done](std::exception_ptr failure, ReadResultsReply received) {
          if (!failure) reply = std::move(received);
          done = true;
        });
    CHECK(runUntil([&done] { return done; }));
    return reply ? reply->results : vector<ResultRecord>();
  }
  std::size_t count(bool finished, std::size_t lot = 0) {
    vector<ResultRecord> const listed = results(lot);
    return static_cast<std::size_t>(std::count_if(
        listed.begin(), listed.end(), [finished](ResultRecord const& result) { return result.finished == finished; }));
  }
  /// Runs until all items have ended.
  void runToEnd() {
    CHECK(runUntil([this] { return results().size() == routedItemCount; }));
  }

  asio::io_context io{1};
  Settings settings = makeSettings();
  RpcServer control;
  UpdatePublisher publisher;
  HeldItemsWorker own, foreign;
  RpcClient rpc;
  std::unique_ptr<StoreNode> store;
  std::optional<StoreRef> holder;
  vector<LotRecord> records;  ///< sent to the store in heartbeat replies
  VersionEvidence evidence;   ///< that the store reported during a rollout
  vector<ServiceLoad> loads;  ///< that the store reported last
  std::uint64_t revision = 0, version = 0;
};

}  // namespace tealshelf
