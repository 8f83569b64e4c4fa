#include "lots/store_node.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

using namespace tealshelf;

namespace {
constexpr std::size_t primaryItems = 12;
string const primaryHost = "shop.example", lotId = "lot";

/// Two stores on loopback, a worker, and a control node that grants every lease and tells each store what the
/// test wants it to believe.
struct TwoStoreCluster {
  explicit TwoStoreCluster(string const& folder)
      : control(io, settings[0].controlAddress(ip(0)), Ms(1000)),
        publisher(io, settings[0], 0),
        worker(
            io, {ip(0), 17729}, [this](HttpCall c) { return run(std::move(c)); }, 1u << 20, Ms(5000)),
        rpc(io, Ms(1000)) {
    std::filesystem::remove_all(folder);
    for (int n = 1; n < 3; ++n) {
      Settings& s = settings[static_cast<std::size_t>(n)];
      s.nodeName = "store-" + std::to_string(n);
      s.dataFolder = folder + "/" + s.nodeName;
      std::filesystem::create_directories(s.dataFolder);
      s.seeds = {{ip(0), 17728}};
      stores.push_back(std::make_unique<StoreNode>(io, s));
    }
    publisher.proof = [] { return UpdatePublisher::Proof{true, 0, Clock::now()}; };
    publisher.setConfiguration(
        1,
        "{\"version\":1,\"routes\":[{\"name\":\"night\",\"host\":\"shop.example\",\"pathStart\":\"/night/\",\"kind\":"
        "\"bulk\",\"timeLimitMs\":9000,\"targetMs\":500,\"priority\":2,\"service\":\"app\",\"tries\":3,\"dueInMs\":300,"
        "\"keepForS\":60,\"maxQueuedTokens\":0}],\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\","
        "\"maxConnections\":100,\"protocol\":\"h1\",\"useTls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":4194304,\"headerWaitMs\":3000,\"idleLimitMs\":15000}}");
    Worker w;
    w.id = "i-1";
    w.service = "app";
    w.address = {ip(0), 17729};
    w.capacity = 8;
    publisher.common.put("w/i-1", serialize(w));
    control.on<UpdateRequest>([this](UpdateRequest q) { return publisher.serve(std::move(q)); });
    control.on<StoreHeartbeat>([this](StoreHeartbeat q) -> Task<StoreHeartbeatReply> {
      StoreHeartbeatReply r;
      r.granted = true;
      r.process = 1;
      r.revision = ++revision;
      if (told.count(q.self.name)) r.lots = {told[q.self.name]};
      r.members.resize(1);
      r.members[0].ip = ip(0);
      storeRefs[q.self.name] = q.self;
      co_return r;
    });
    control.start();
    worker.start();
    for (std::unique_ptr<StoreNode> const& s : stores) s->start();
    until([this] { return storeRefs.size() == 2; });
  }
  static string ip(std::size_t n) { return "127.0.0." + std::to_string(90 + n); }
  Task<HttpReply> run(HttpCall c) {
    string const id = c.header("Attempt-Id");
    ++runs[id];
    co_await sleepFor(Ms(15));
    HttpReply a{200, "id: 1\ndata: " + id + "\n\nid: 2\ndata: end\n\n", "text/event-stream", {}};
    a.headers = {{"Attempt-Id", id}, {"Server-Seal", "s"}};
    co_return a;
  }
  void until(std::function<bool()> const& f) {
    TimePoint const end = Clock::now() + Ms(6000);
    while (!f() && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(10));
    }
    CHECK(f());
  }
  /// The answer of a store, or none if it refused.
  template <class Q>
  std::optional<typename Q::Reply> ask(StoreRef const& to, Q const& q) {
    using R = typename Q::Reply;
    std::shared_ptr<std::optional<R>> const got = std::make_shared<std::optional<R>>();
    std::shared_ptr<bool> const done = std::make_shared<bool>(false);
    asio::co_spawn(io, rpc.call(to.address, q, Ms(1000)), [got, done](std::exception_ptr p, R r) {
      if (!p) *got = std::move(r);
      *done = true;
    });
    until([done] { return *done; });
    return *got;
  }
  /// Reads the lot at a store under a stamp; false if a position differs from what any reader saw before.
  bool read(StoreRef const& at, GenerationStamp stamp) {
    std::optional<ReadResultsReply> const r = ask(at, ReadResults{primaryHost, lotId, stamp, 0, 1u << 20, 0});
    if (!r) return true;
    bool same = true;
    for (std::size_t n = 0; n < r->itemIds.size(); ++n) {
      if (n == seen.size()) seen.push_back(r->itemIds[n]);
      same = same && seen[n] == r->itemIds[n] && r->results[n].text == r->itemIds[n] + "\nend";
    }
    return same && std::set<string>(seen.begin(), seen.end()).size() == seen.size();
  }
  asio::io_context io{1};
  std::array<Settings, 3> settings = [] {
    std::array<Settings, 3> a;
    for (std::size_t n = 0; n < 3; ++n) {
      a[n].ip = ip(n);
      a[n].firstInternalPort = 17720;
      a[n].bounds.inTouch = Ms(1200);
      a[n].bounds.step = Ms(40);
      a[n].surviveMachines = 0;
    }
    return a;
  }();
  RpcServer control;
  UpdatePublisher publisher;
  HttpServer worker;
  RpcClient rpc;
  vector<std::unique_ptr<StoreNode>> stores;
  std::map<string, StoreRef> storeRefs;
  std::map<string, LotRecord> told;
  std::map<string, int> runs;
  std::uint64_t revision = 0;
  vector<string> seen;  ///< what readers saw at each position, at any store
};

enum class Scenario {
  twoPrimaries,  ///< the second holder is settled and made primary; the first one isn't told
  freshStamp,    ///< both are settled under a fresh stamp, and the first one goes on
  broken         ///< both are settled apart, as two coordinators at once would do
};

/// Runs a lot through a course; false if readers ever saw two results at a position or an item twice.
bool play(Scenario course) {
  TwoStoreCluster rig("/tmp/tealshelf-two-primaries");
  StoreRef const a = rig.storeRefs["store-1"], b = rig.storeRefs["store-2"];
  LotRecord l;
  l.id = lotId;
  l.host = primaryHost;
  l.route = "night";
  l.service = "app";
  l.itemCount = primaryItems;
  l.submittedAtMs = wallClockMs();
  l.dueInMs = 300;
  l.keepForMs = 60000;
  l.state = LotState::accepted;
  l.stamp = GenerationStamp(1);
  l.holders = {a, b};
  vector<ItemRecord> items(primaryItems);
  for (std::size_t n = 0; n < primaryItems; ++n) items[n] = {"item-" + std::to_string(n), "/night/x", "b", {}, 10};
  CreateReplica const create{l, serialize(items), {}, true};
  CHECK(rig.ask(a, create).has_value());
  // The very same again is no second lot, and an older one is refused.
  CHECK(rig.ask(a, create).has_value());
  CreateReplica older = create;
  older.lot.stamp = GenerationStamp(0);
  CHECK_FALSE(rig.ask(a, older).has_value());
  rig.told["store-1"] = rig.told["store-2"] = l;
  bool same = true;
  rig.until([&] {
    same = rig.read(a, GenerationStamp(1)) && same;
    return rig.seen.size() >= 2;
  });
  LotRecord next = l;
  next.stamp = GenerationStamp(2);
  std::optional<InspectReplicaReply> const at = rig.ask(b, InspectReplica{primaryHost, lotId});
  std::uint64_t cut = at->results;
  bool const moves = course != Scenario::freshStamp;
  if (moves) {
    next.holders = {b};
    if (course == Scenario::broken) {
      LotRecord& apart = rig.told["store-1"];
      apart.holders = {a};
      apart.stamp = GenerationStamp(3);
      CHECK(rig.ask(a, SettleReplica{primaryHost, lotId, GenerationStamp(1), GenerationStamp(3), cut}).has_value());
    }
  } else {
    cut = std::min(cut, rig.ask(a, InspectReplica{primaryHost, lotId})->results);
    CHECK(rig.ask(a, SettleReplica{primaryHost, lotId, GenerationStamp(1), GenerationStamp(2), cut}).has_value());
    rig.told["store-1"] = next;
  }
  CHECK(rig.ask(b, SettleReplica{primaryHost, lotId, GenerationStamp(1), GenerationStamp(2), cut}).has_value());
  rig.told["store-2"] = next;
  // Whoever still writes under the old stamp is refused.
  AppendResults stale;
  stale.parts = {{primaryHost, lotId, GenerationStamp(1), cut, {serialize(ResultRecord{0, true, "stale"})}}};
  CHECK_FALSE(rig.ask(b, stale)->accepted.at(0));
  rig.until([&] {
    same = rig.read(a, course == Scenario::broken ? GenerationStamp(3) : GenerationStamp(1)) && same;
    same = rig.read(moves ? b : a, GenerationStamp(2)) && same;
    return rig.seen.size() == primaryItems || !same;
  });
  if (moves && same) {
    // The first primary learns of the other at last and serves nothing under either stamp.
    rig.told["store-1"] = next;
    rig.until([&] { return !rig.ask(a, ReadResults{primaryHost, lotId, GenerationStamp(1), 0, 1u << 20, 0}); });
    CHECK_FALSE(rig.ask(a, ReadResults{primaryHost, lotId, GenerationStamp(2), 0, 1u << 20, 0}).has_value());
  }
  int most = 0;
  for (std::pair<string const, int> const& r : rig.runs) most = std::max(most, r.second);
  CHECK_TEXT(!moves || !same || most > 1, "no item ran under both primaries");
  return same;
}
}  // namespace

TEST_GROUP(primaries){};

TEST(primaries, anItemUnderTwoPrimariesIsListedOnce) {
  CHECK(play(Scenario::twoPrimaries));
}
TEST(primaries, aLotGoesOnUnderAFreshStamp) {
  CHECK(play(Scenario::freshStamp));
}
TEST(primaries, twoCoordinatorsAtOnceAreCaught) {
  bool caught = false;
  for (int n = 0; n < 5 && !caught; ++n) caught = !play(Scenario::broken);
  CHECK(caught);
}
