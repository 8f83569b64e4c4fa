#include "lots/store_node.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

using namespace tealshelf;

namespace {
constexpr std::size_t primaryItems = 12;
string const primaryHost = "shop.example", lotId = "lot";

/// Two stores on loopback, a worker, and a control node that grants every lease and sends each store the record that
/// the test chooses for it.
struct TwoStoreCluster {
  explicit TwoStoreCluster(string const& folder)
      : control(io, settings[0].controlAddress(ip(0)), Ms(1000)),
        publisher(io, settings[0], 0),
        worker(
            io, {ip(0), 17729}, [this](HttpCall call) { return run(std::move(call)); }, 1u << 20, Ms(5000)),
        rpc(io, Ms(1000)) {
    std::filesystem::remove_all(folder);
    for (int number = 1; number < 3; ++number) {
      Settings& store = settings[static_cast<std::size_t>(number)];
      store.nodeName = "store-" + std::to_string(number);
      store.dataFolder = folder + "/" + store.nodeName;
      std::filesystem::create_directories(store.dataFolder);
      store.seeds = {{ip(0), 17728}};
      stores.push_back(std::make_unique<StoreNode>(io, store));
    }
    publisher.proof = [] { return UpdatePublisher::Proof{true, 0, Clock::now()}; };
    publisher.setConfiguration(
        1,
        "{\"version\":1,\"routes\":[{\"name\":\"night\",\"host\":\"shop.example\",\"pathStart\":\"/night/\",\"kind\":"
        "\"bulk\",\"timeLimitMs\":9000,\"targetMs\":500,\"priority\":2,\"service\":\"app\",\"tries\":3,\"dueInMs\":300,"
        "\"keepForS\":60,\"maxQueuedTokens\":0}],\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\","
        "\"maxConnections\":100,\"protocol\":\"h1\",\"useTls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":4194304,\"headerWaitMs\":3000,\"idleLimitMs\":15000}}");
    Worker registered;
    registered.id = "i-1";
    registered.service = "app";
    registered.address = {ip(0), 17729};
    registered.capacity = 8;
    publisher.common.put("w/i-1", serialize(registered));
    control.on<UpdateRequest>([this](UpdateRequest request) { return publisher.serve(std::move(request)); });
    control.on<StoreHeartbeat>([this](StoreHeartbeat heartbeat) -> Task<StoreHeartbeatReply> {
      StoreHeartbeatReply reply;
      reply.granted = true;
      reply.process = 1;
      reply.revision = ++revision;
      if (recordFor.count(heartbeat.self.name)) reply.lots = {recordFor[heartbeat.self.name]};
      reply.members.resize(1);
      reply.members[0].ip = ip(0);
      storeRefs[heartbeat.self.name] = heartbeat.self;
      co_return reply;
    });
    control.start();
    worker.start();
    for (std::unique_ptr<StoreNode> const& store : stores) store->start();
    runUntil([this] { return storeRefs.size() == 2; });
  }
  static string ip(std::size_t node) { return "127.0.0." + std::to_string(90 + node); }
  Task<HttpReply> run(HttpCall call) {
    string const id = call.header("Attempt-Id");
    ++runs[id];
    co_await sleepFor(Ms(15));
    HttpReply reply{200, "id: 1\ndata: " + id + "\n\nid: 2\ndata: end\n\n", "text/event-stream", {}};
    reply.headers = {{"Attempt-Id", id}, {"Server-Seal", "s"}};
    co_return reply;
  }
  void runUntil(std::function<bool()> const& condition) {
    TimePoint const end = Clock::now() + Ms(6000);
    while (!condition() && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(10));
    }
    CHECK(condition());
  }
  /// The reply of a store, or none if it refused.
  template <class Request>
  std::optional<typename Request::Reply> ask(StoreRef const& store, Request const& request) {
    using Reply = typename Request::Reply;
    std::shared_ptr<std::optional<Reply>> const received = std::make_shared<std::optional<Reply>>();
    std::shared_ptr<bool> const done = std::make_shared<bool>(false);
    asio::co_spawn(io, rpc.call(store.address, request, Ms(1000)),
                   [received, done](std::exception_ptr failure, Reply reply) {
                     if (!failure) *received = std::move(reply);
                     *done = true;
                   });
    runUntil([done] { return *done; });
    return *received;
  }
  /// Reads the lot at a store under a stamp; false if a position differs from what any reader saw before, or an item
  /// was listed twice.
  bool readsConsistently(StoreRef const& store, GenerationStamp stamp) {
    std::optional<ReadResultsReply> const reply = ask(store, ReadResults{primaryHost, lotId, stamp, 0, 1u << 20, 0});
    if (!reply) return true;
    bool consistent = true;
    for (std::size_t position = 0; position < reply->itemIds.size(); ++position) {
      string const& itemId = reply->itemIds[position];
      if (position == seen.size()) seen.push_back(itemId);
      consistent = consistent && seen[position] == itemId && reply->results[position].text == itemId + "\nend";
    }
    return consistent && std::set<string>(seen.begin(), seen.end()).size() == seen.size();
  }
  asio::io_context io{1};
  std::array<Settings, 3> settings = [] {
    std::array<Settings, 3> nodes;
    for (std::size_t node = 0; node < nodes.size(); ++node) {
      nodes[node].ip = ip(node);
      nodes[node].firstInternalPort = 17720;
      nodes[node].bounds.inTouch = Ms(1200);
      nodes[node].bounds.step = Ms(40);
      nodes[node].surviveMachines = 0;
    }
    return nodes;
  }();
  RpcServer control;
  UpdatePublisher publisher;
  HttpServer worker;
  RpcClient rpc;
  vector<std::unique_ptr<StoreNode>> stores;
  std::map<string, StoreRef> storeRefs;
  std::map<string, LotRecord> recordFor;  ///< sent to a store in its heartbeat replies, by store name
  std::map<string, int> runs;             ///< by item
  std::uint64_t revision = 0;
  vector<string> seen;  ///< item ids that readers saw at each position, at any store
};

enum class Scenario {
  twoPrimaries,            ///< the second holder is settled and made primary; the first one doesn't learn of it
  freshStamp,              ///< both holders are settled under a fresh stamp, and the first one stays primary
  conflictingCoordinators  ///< each holder is settled as the only one, as by two concurrent coordinators
};

/// Runs a lot through a scenario; false if a reader saw two different results at a position or an item twice.
bool staysConsistent(Scenario scenario) {
  TwoStoreCluster cluster("/tmp/tealshelf-two-primaries");
  StoreRef const first = cluster.storeRefs["store-1"], second = cluster.storeRefs["store-2"];
  LotRecord lot;
  lot.id = lotId;
  lot.host = primaryHost;
  lot.route = "night";
  lot.service = "app";
  lot.itemCount = primaryItems;
  lot.submittedAtMs = wallClockMs();
  lot.dueInMs = 300;
  lot.keepForMs = 60000;
  lot.state = LotState::accepted;
  lot.stamp = GenerationStamp(1);
  lot.holders = {first, second};
  vector<ItemRecord> items(primaryItems);
  for (std::size_t number = 0; number < primaryItems; ++number)
    items[number] = {"item-" + std::to_string(number), "/night/x", "b", {}, 10};
  CreateReplica const create{lot, serialize(items), {}, true};
  CHECK(cluster.ask(first, create).has_value());
  // Creating the same replica again has no effect, and an older one is refused.
  CHECK(cluster.ask(first, create).has_value());
  CreateReplica older = create;
  older.lot.stamp = GenerationStamp(0);
  CHECK_FALSE(cluster.ask(first, older).has_value());
  cluster.recordFor["store-1"] = cluster.recordFor["store-2"] = lot;
  bool consistent = true;
  cluster.runUntil([&] {
    consistent = cluster.readsConsistently(first, GenerationStamp(1)) && consistent;
    return cluster.seen.size() >= 2;
  });
  LotRecord next = lot;
  next.stamp = GenerationStamp(2);
  std::optional<InspectReplicaReply> const inspected = cluster.ask(second, InspectReplica{primaryHost, lotId});
  std::uint64_t length = inspected->results;
  bool const changesPrimary = scenario != Scenario::freshStamp;
  if (changesPrimary) {
    next.holders = {second};
    if (scenario == Scenario::conflictingCoordinators) {
      LotRecord& conflicting = cluster.recordFor["store-1"];
      conflicting.holders = {first};
      conflicting.stamp = GenerationStamp(3);
      CHECK(cluster.ask(first, SettleReplica{primaryHost, lotId, GenerationStamp(1), GenerationStamp(3), length})
                .has_value());
    }
  } else {
    length = std::min(length, cluster.ask(first, InspectReplica{primaryHost, lotId})->results);
    CHECK(cluster.ask(first, SettleReplica{primaryHost, lotId, GenerationStamp(1), GenerationStamp(2), length})
              .has_value());
    cluster.recordFor["store-1"] = next;
  }
  CHECK(cluster.ask(second, SettleReplica{primaryHost, lotId, GenerationStamp(1), GenerationStamp(2), length})
            .has_value());
  cluster.recordFor["store-2"] = next;
  // Appends under the old stamp are refused.
  AppendResults stale;
  stale.parts = {{primaryHost, lotId, GenerationStamp(1), length, {serialize(ResultRecord{0, true, "stale"})}}};
  CHECK_FALSE(cluster.ask(second, stale)->accepted.at(0));
  cluster.runUntil([&] {
    consistent = cluster.readsConsistently(
                     first, scenario == Scenario::conflictingCoordinators ? GenerationStamp(3) : GenerationStamp(1)) &&
                 consistent;
    consistent = cluster.readsConsistently(changesPrimary ? second : first, GenerationStamp(2)) && consistent;
    return cluster.seen.size() == primaryItems || !consistent;
  });
  if (changesPrimary && consistent) {
    // Once the first primary learns of the other, it serves reads under neither stamp.
    cluster.recordFor["store-1"] = next;
    cluster.runUntil([&] {
      return !cluster.ask(first, ReadResults{primaryHost, lotId, GenerationStamp(1), 0, 1u << 20, 0});
    });
    CHECK_FALSE(cluster.ask(first, ReadResults{primaryHost, lotId, GenerationStamp(2), 0, 1u << 20, 0}).has_value());
  }
  int maxRuns = 0;
  for (std::pair<string const, int> const& runs : cluster.runs) maxRuns = std::max(maxRuns, runs.second);
  CHECK_TEXT(!changesPrimary || !consistent || maxRuns > 1, "no item ran under both primaries");
  return consistent;
}
}  // namespace

TEST_GROUP(primaries){};

TEST(primaries, anItemUnderTwoPrimariesIsListedOnce) {
  CHECK(staysConsistent(Scenario::twoPrimaries));
}
TEST(primaries, aLotContinuesUnderAFreshStamp) {
  CHECK(staysConsistent(Scenario::freshStamp));
}
TEST(primaries, detectsConflictingCoordinators) {
  bool detected = false;
  for (int attempt = 0; attempt < 5 && !detected; ++attempt)
    detected = !staysConsistent(Scenario::conflictingCoordinators);
  CHECK(detected);
}
