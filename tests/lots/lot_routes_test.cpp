#include "lots/store_node.hpp"
#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

using namespace tealshelf;

namespace {
constexpr std::size_t routedItemCount = 40;
constexpr int routedFirstPort = 17410, routedControlPort = routedFirstPort + 8;
string const routedHost = "shop.example", routedLotId = "lot", routedPrefix = "/night/";
/// Services, each with one worker.
string const ownService = "app", foreignService = "other";

struct RouteText {
  string name, host, prefix, service;
  string kind = "bulk";
};
RouteText const ownRoute{"night", routedHost, routedPrefix, ownService};

string routesConfiguration(std::uint64_t version, vector<RouteText> const& routes) {
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

/// A worker that holds each request until it is released.
struct HeldItemsWorker {
  HeldItemsWorker(asio::io_context& io, string const& ip, int port)
      : server(
            io, {ip, port}, [this](HttpCall call) { return run(std::move(call)); }, 1u << 20, Ms(5000)) {
    server.start();
  }
  Task<HttpReply> run(HttpCall call) {
    string const id = call.header("Attempt-Id");
    ++started;
    while (!isReleased) co_await sleepFor(Ms(5));
    HttpReply reply{200, "id: 1\ndata: " + id + "\n\n", "text/event-stream", {}};
    reply.headers = {{"Attempt-Id", id}, {"Server-Seal", "s"}};
    co_return reply;
  }
  std::size_t started = 0;
  bool isReleased = false;
  HttpServer server;
};

/// A store on loopback that is the only holder of a lot, with a worker for each of two services and a control node
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
      if (record) reply.lots = {*record};
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
  /// Creates the lot, as an edge node does with the lot's own route; `change` alters the record.
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
    vector<ItemRecord> items;
    for (std::size_t number = 0; number < routedItemCount; ++number)
      items.push_back({"item-" + std::to_string(number), routedPrefix + "x", "b", {}, 10});
    bool created = false;
    asio::co_spawn(io, rpc.call(holder->address, CreateReplica{lot, serialize(items), {}, false}, Ms(1000)),
                   [&created](std::exception_ptr failure, Acknowledgement) { created = !failure; });
    CHECK(runUntil([&created] { return created; }));
    record = lot;
  }
  void release() { own.isReleased = foreign.isReleased = true; }
  /// The last reported backlog of a service, in slots.
  double backlogOf(string const& service) const {
    for (ServiceLoad const& load : loads)
      if (load.service == service) return load.backlog;
    return 0;
  }
  /// The listed results.
  vector<ResultRecord> results() {
    std::optional<ReadResultsReply> reply;
    bool done = false;
    asio::co_spawn(
        io, rpc.call(holder->address, ReadResults{routedHost, routedLotId, record->stamp, 0, 1u << 20, 0}, Ms(1000)),
        [&reply, &done](std::exception_ptr failure, ReadResultsReply received) {
          if (!failure) reply = std::move(received);
          done = true;
        });
    CHECK(runUntil([&done] { return done; }));
    return reply ? reply->results : vector<ResultRecord>();
  }
  std::size_t count(bool finished) {
    vector<ResultRecord> const listed = results();
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
  std::optional<LotRecord> record;  ///< sent to the store in heartbeat replies
  VersionEvidence evidence;         ///< that the store reported during a rollout
  vector<ServiceLoad> loads;        ///< that the store reported last
  std::uint64_t revision = 0, version = 0;
};

/// Changes the configuration while some items run, and expects that all items are finished by the lot's own service.
void expectFinishedAfterChange(vector<RouteText> const& before, vector<RouteText> const& after,
                               std::function<void(LotRecord&)> const& alter = {}) {
  OneStoreCluster cluster(before);
  cluster.submit(alter);
  CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
  cluster.configure(after);
  cluster.runFor(Ms(200));
  CHECK(cluster.own.started < routedItemCount);
  cluster.release();
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(true));
  LONGS_EQUAL(0, cluster.foreign.started);
}

/// A record as older releases wrote it.
void removeIdentity(LotRecord& lot) {
  lot.routePrefix = "";
  lot.configurationVersion = 0;
}
}  // namespace

/// A lot's route is identified by host and prefix; its name may change, and other routes may share it.
TEST_GROUP(lotRoutes){};

// Guards against items given up when another host's route takes the name of their route.
TEST(lotRoutes, itemsAreFinishedThoughAnotherHostsRouteTakesTheName) {
  expectFinishedAfterChange({ownRoute}, {{ownRoute.name, "other.example", "/day/", ownService}, ownRoute});
}
// Guards against items given up when a route of another kind takes the name of their route.
TEST(lotRoutes, itemsAreFinishedThoughARouteOfAnotherKindTakesTheName) {
  expectFinishedAfterChange({ownRoute},
                            {{ownRoute.name, "other.example", "/day/", foreignService, "repeatable"}, ownRoute});
}
// Guards against items given up when their route gets another name.
TEST(lotRoutes, itemsAreFinishedThoughTheirRouteIsRenamed) {
  expectFinishedAfterChange({ownRoute}, {{"renamed", routedHost, routedPrefix, ownService}});
}
// Guards against items run by the service of another route that takes the name of their route.
TEST(lotRoutes, itemsRunAtTheirOwnServiceBesideARouteOfTheSameNameAndHost) {
  expectFinishedAfterChange({ownRoute}, {{ownRoute.name, routedHost, "/day/", foreignService}, ownRoute});
}
// Guards against items given up when two routes swap their names.
TEST(lotRoutes, itemsRunAtTheirOwnServiceThoughTwoRoutesSwapTheirNames) {
  RouteText const day{"day", routedHost, "/day/", foreignService};
  expectFinishedAfterChange(
      {ownRoute, day}, {{"day", routedHost, routedPrefix, ownService}, {"night", routedHost, "/day/", foreignService}});
}
// Guards against records of older releases, which tell no prefix, losing their route.
TEST(lotRoutes, itemsOfOlderRecordsAreFinishedThoughTheirRouteIsRenamed) {
  expectFinishedAfterChange({ownRoute}, {ownRoute}, removeIdentity);
  expectFinishedAfterChange({ownRoute}, {{"renamed", routedHost, routedPrefix, ownService}}, removeIdentity);
  RouteText const sameName{ownRoute.name, routedHost, "/day/", foreignService};
  expectFinishedAfterChange({sameName, ownRoute}, {sameName, ownRoute}, removeIdentity);
}
// Guards against items sent under one name of their route and answered under another counted for two routes.
TEST(lotRoutes, outcomesAfterARenameCountForTheSameRoute) {
  OneStoreCluster cluster({ownRoute});
  cluster.beginRollout();
  cluster.runFor(Ms(100));
  cluster.submit();
  CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
  cluster.configure({{"renamed", routedHost, routedPrefix, ownService}});
  cluster.runFor(Ms(200));
  cluster.release();
  cluster.runToEnd();
  CHECK(cluster.runUntil([&] {
    vector<VersionTally> const all = cluster.evidence.all();
    return std::any_of(all.begin(), all.end(),
                       [](VersionTally const& tally) { return tally.succeeded >= routedItemCount; });
  }));
  LONGS_EQUAL(1, cluster.evidence.all().size());
  LONGS_EQUAL(routedItemCount, cluster.evidence.all().front().sent);
}
// Guards against items that wait for a route that is gone, or run as another route has its name.
TEST(lotRoutes, itemsOfARemovedRouteAreGivenUp) {
  for (char const* const otherHost : {"other.example", "shop.example"}) {
    OneStoreCluster cluster({ownRoute});
    cluster.submit();
    CHECK(cluster.runUntil([&] { return cluster.own.started > 0; }));
    std::size_t const started = cluster.own.started;
    cluster.configure({{ownRoute.name, otherHost, "/day/", foreignService}});
    cluster.runFor(cluster.settings.bounds.applyWithin);
    cluster.release();
    cluster.runToEnd();
    LONGS_EQUAL(routedItemCount - started, cluster.count(false));
    LONGS_EQUAL(started, cluster.own.started);
    LONGS_EQUAL(0, cluster.foreign.started);
  }
}
// Guards against items given up by a store whose configuration is older than the one under which their lot was taken.
TEST(lotRoutes, itemsWaitForTheConfigurationUnderWhichTheirLotWasTaken) {
  OneStoreCluster cluster({{"day", routedHost, "/day/", foreignService}});
  cluster.release();
  cluster.submit([&](LotRecord& lot) { lot.configurationVersion = cluster.version + 1; });
  cluster.runFor(3 * cluster.settings.bounds.applyWithin);
  LONGS_EQUAL(0, cluster.results().size());
  cluster.configure({ownRoute});
  cluster.runToEnd();
  LONGS_EQUAL(routedItemCount, cluster.count(true));
  LONGS_EQUAL(0, cluster.foreign.started);
}
// Guards against queued items that no service's demand holds, so that no workers are ordered for them.
TEST(lotRoutes, queuedItemsCountForTheServiceOfTheirRoute) {
  OneStoreCluster cluster({ownRoute});
  cluster.submit();
  CHECK(cluster.runUntil([&] { return cluster.backlogOf(ownService) > 0; }));
  cluster.configure({{ownRoute.name, routedHost, routedPrefix, foreignService}});
  CHECK(cluster.runUntil([&] { return cluster.backlogOf(foreignService) > 0; }));
  DOUBLES_EQUAL(0, cluster.backlogOf(ownService), 0);
}
