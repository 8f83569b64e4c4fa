#include "control/control_node.hpp"
#include "edge/edge_node.hpp"
#include "lots/store_node.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

using namespace tealshelf;

namespace {
constexpr int itemCount = 10;
string const folder = "/tmp/tealshelf-lots-twice", host = "shop.example";
string const configuration =
    "{\"version\":1,\"routes\":[{\"name\":\"night\",\"host\":\"shop.example\",\"pathStart\":\"/night/\",\"kind\":"
    "\"bulk\",\"timeLimitMs\":9000,\"targetMs\":500,\"priority\":2,\"service\":\"app\",\"tries\":3,\"dueInMs\":300,"
    "\"keepForS\":60,\"maxQueuedTokens\":0}],\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\",\"maxConnections\":"
    "100,\"protocol\":\"h1\",\"useTls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerWaitMs\":3000,\"idleLimitMs\":15000}}";

/// A control node, a store, two edge nodes and a worker, all real but the worker, on loopback.
struct SmallSystem {
  SmallSystem()
      : control(io, settings[0]),
        store(io, settings[1]),
        edges{{{io, settings[2]}, {io, settings[3]}}},
        worker(
            io, {ip(0), 17739}, [this](HttpCall c) { return run(std::move(c)); }, 1u << 20, Ms(5000)),
        rpc(io, Ms(1000)) {
    worker.start();
    control.start();
    store.start();
    for (EdgeNode& e : edges) e.start();
    until(
        [this] { return call(settings[0].control, "PUT", "/settings", configuration, "If-Match", "0").first == 200; });
    string const beat = "{\"service\":\"app\",\"address\":\"" + ip(0) +
                        ":17739\",\"zone\":\"z\",\"version\":\"v\",\"capacity\":8,\"state\":\"ready\","
                        "\"warmupLeftMs\":0,\"callCount\":1}";
    until([&] { return call(settings[0].control, "PUT", "/servers/i-1", beat).first == 200; });
    for (int n = 2; n < 4; ++n)
      until([&] { return call(settings[static_cast<std::size_t>(n)].readiness, "GET", "/readiness").first == 200; });
  }
  static string ip(std::size_t n) { return "127.0.0." + std::to_string(95 + n); }
  static std::array<Settings, 4> makeSettings() {
    std::filesystem::remove_all(folder);
    std::array<Settings, 4> all;
    for (std::size_t n = 0; n < all.size(); ++n) all[n] = settingsOf(n, n < 2);
    return all;
  }
  static Settings settingsOf(std::size_t n, bool hasDisk) {
    Settings s;
    s.nodeName = "n-" + std::to_string(n);
    s.ip = ip(n);
    s.zone = "z";
    s.firstInternalPort = 17730;
    s.control = {ip(n), 17738};
    s.outside = {ip(n), 17736};
    s.readiness = {ip(n), 17737};
    s.seeds = {{ip(0), 17738}};
    s.firstBoot = true;
    s.reportEvery = Ms(20000);
    s.bounds.inTouch = Ms(4800);  // a try may be accepted for half of it, also on a busy machine
    s.bounds.step = Ms(40);
    if (hasDisk) s.dataFolder = folder + "/" + s.nodeName;
    if (hasDisk) std::filesystem::create_directories(s.dataFolder);
    return s;
  }
  /// One more store; it lasts as long as the system.
  void addStore() {
    moreSettings.push_back(settingsOf(4 + moreSettings.size(), true));
    moreStores.push_back(std::make_unique<StoreNode>(io, moreSettings.back()));
    moreStores.back()->start();
  }
  Task<HttpReply> run(HttpCall c) {
    string const id = c.header("Attempt-Id");
    ++runs[id];
    co_await sleepFor(Ms(5));
    HttpReply a{200, "id: 1\ndata: " + id + "\n\n", "text/event-stream", {}};
    a.headers = {{"Attempt-Id", id}, {"Server-Seal", "s"}};
    co_return a;
  }
  void until(std::function<bool()> const& f) {
    TimePoint const end = Clock::now() + Ms(8000);
    while (!f() && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(10));
    }
    CHECK(f());
  }
  using Got = std::pair<int, string>;
  std::shared_ptr<Got> begin(Address at, string verb, string path, string body, string head, string value) {
    std::shared_ptr<Got> const got = std::make_shared<Got>(-1, "");
    asio::co_spawn(io,
                   client(std::move(at), std::move(verb), std::move(path), std::move(body), std::move(head),
                          std::move(value), got),
                   [got](std::exception_ptr p) {
                     if (p) got->first = 0;
                   });
    return got;
  }
  Got call(Address const& at, string const& verb, string const& path, string const& body = "",
           string const& head = "Attempt-Id", string const& value = "lot") {
    std::shared_ptr<Got> const got = begin(at, verb, path, body, head, value);
    TimePoint const end = Clock::now() + Ms(4000);
    while (got->first < 0 && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(10));
    }
    return *got;
  }
  Task<void> client(Address at, string verb, string path, string body, string head, string value,
                    std::shared_ptr<Got> got) {
    tcp::socket s(io);
    tcp::endpoint const to(asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port));
    co_await s.async_connect(to, asio::use_awaitable);
    http::request<http::string_body> q(http::string_to_verb(verb), path, 11);
    q.set(http::field::host, host);
    q.set(head, value);
    q.body() = body;
    q.prepare_payload();
    co_await http::async_write(s, q, asio::use_awaitable);
    beast::flat_buffer buf;
    http::response<http::string_body> r;
    co_await http::async_read(s, buf, r, asio::use_awaitable);
    got->second = r.body();
    got->first = static_cast<int>(r.result_int());
  }
  /// The answer to a message, or the number of the error.
  template <class Q>
  std::pair<int, typename Q::Reply> ask(Address const& to, Q const& q) {
    using R = std::pair<int, typename Q::Reply>;
    std::shared_ptr<R> const got = std::make_shared<R>(-1, typename Q::Reply());
    asio::co_spawn(io, rpc.call(to, q, Ms(2000)), [got](std::exception_ptr p, typename Q::Reply r) {
      got->second = std::move(r);
      try {
        if (p) std::rethrow_exception(p);
        got->first = 0;
      } catch (Error const& x) {
        got->first = static_cast<int>(x.code());
      }
    });
    until([got] { return got->first >= 0; });
    return *got;
  }
  string list(int edge) {
    return call(settings[static_cast<std::size_t>(edge)].outside, "GET", "/lots/lot?startAfter=0").second;
  }
  asio::io_context io{1};
  std::array<Settings, 4> settings = makeSettings();
  ControlNode control;
  StoreNode store;
  std::array<EdgeNode, 2> edges;
  HttpServer worker;
  RpcClient rpc;
  std::map<string, int> runs;
  std::deque<Settings> moreSettings;
  vector<std::unique_ptr<StoreNode>> moreStores;
};
}  // namespace

TEST_GROUP(lotSubmission){};

TEST(lotSubmission, aLotHandedInAtTwoEdgesAtOnceIsTakenOnce) {
  SmallSystem s;
  string items;
  for (int n = 0; n < itemCount; ++n)
    items += string(n ? "," : "") + "{\"serverId\":\"item-" + std::to_string(n) +
             "\",\"urlPath\":\"/night/x\",\"headerMap\":{},\"payload\":\"QQ==\",\"tokens\":10}";
  string const body = "{\"requests\":[" + items + "]}";
  for (int turn = 0; turn < 3; ++turn) {
    vector<std::shared_ptr<SmallSystem::Got>> got;
    for (int n = 0; n < 6; ++n)
      got.push_back(s.begin(s.settings[static_cast<std::size_t>(2 + n % 2)].outside, "POST", "/night/x", body,
                            "Attempt-Id", "lot"));
    s.until([&] { return std::all_of(got.begin(), got.end(), [](auto const& g) { return g->first >= 0; }); });
    for (std::shared_ptr<SmallSystem::Got> const& g : got) CHECK(g->first == 202 || g->first == 500);
  }
  LONGS_EQUAL(202, s.call(s.settings[2].outside, "POST", "/night/x", body).first);
  string const whole = "\"nextToken\":" + std::to_string(itemCount);
  s.until([&] { return s.list(2).find(whole) != string::npos; });
  s.until([&] { return s.list(3) == s.list(2); });
  LONGS_EQUAL(itemCount, s.runs.size());
  for (std::pair<string const, int> const& r : s.runs) LONGS_EQUAL_TEXT(1, r.second, r.first.c_str());
}
/// Each step of handing in a lot, sent again, late, or under the stamp of a try that was overtaken.
TEST(lotSubmission, aStepThatComesAgainIsHarmless) {
  SmallSystem s;
  Address const control = s.settings[0].controlAddress(s.ip(0));
  OpenLot open;
  open.lot.id = "lot";
  open.lot.host = host;
  open.lot.route = "night";
  open.lot.itemCount = 1;
  open.lot.tokens = 10;
  open.lot.keepForMs = 60000;
  open.lot.dueInMs = 300;
  string const items = serialize(vector<ItemRecord>{{"item-0", "/night/x", "b", {}, 10}});
  s.until([&] { return s.ask(control, open).first == 0; });
  LotRecord const first = s.ask(control, open).second.lot, second = s.ask(control, open).second.lot;
  CHECK(first.stamp < second.stamp);
  Address const store = first.holders.at(0).address;
  LONGS_EQUAL(0, s.ask(store, CreateReplica{second, items, {}, true}).first);
  // The try that was overtaken: its copy comes late and is refused, and so is its acceptance.
  LONGS_EQUAL(static_cast<int>(ErrorCode::staleStamp), s.ask(store, CreateReplica{first, items, {}, true}).first);
  LONGS_EQUAL(static_cast<int>(ErrorCode::staleStamp), s.ask(control, AcceptLot{host, "lot", first.stamp, 0}).first);
  LONGS_EQUAL(0, s.ask(store, CreateReplica{second, items, {}, true}).first);
  for (int n = 0; n < 2; ++n) LONGS_EQUAL(0, s.ask(control, AcceptLot{host, "lot", second.stamp, 0}).first);
  std::pair<int, OpenLotReply> const again = s.ask(control, open);
  CHECK(again.first == 0 && again.second.alreadyAccepted && again.second.lot.stamp == second.stamp);
  s.until([&] { return s.list(2).find("\"nextToken\":1") != string::npos; });
  LONGS_EQUAL(1, s.runs["item-0"]);
  for (int n = 0; n < 2; ++n) CHECK(s.ask(control, EndLot{host, "lot", 0}).second.known);
  CHECK(s.ask(control, open).second.alreadyAccepted);
  LONGS_EQUAL(1, s.runs["item-0"]);
}

/// Once all is listed the record says so, the store lets the bodies go, and readers see the same as before.
TEST(lotSubmission, aCompleteLotIsSealedAndReadsTheSame) {
  SmallSystem s;
  string const body =
      "{\"requests\":[{\"serverId\":\"item-0\",\"urlPath\":\"/night/"
      "x\",\"headerMap\":{},\"payload\":\"QQ==\",\"tokens\":10}]}";
  s.until([&] { return s.call(s.settings[2].outside, "POST", "/night/x", body).first == 202; });
  s.until([&] { return s.list(2).find("\"nextToken\":1") != string::npos; });
  string const listed = s.list(2);
  Address const control = s.settings[0].controlAddress(s.ip(0));
  LotRecord record;
  s.until([&] {
    record = s.ask(control, FindLot{host, "lot", 0}).second.lot;
    return record.isSealed();
  });
  LONGS_EQUAL(1, record.sealedResults);
  CHECK(record.stamp > record.sealedStamp);
  s.until([&] { return s.list(3) == listed; });
  STRCMP_EQUAL(listed.c_str(), s.list(2).c_str());
  // The primary's own read is refused, as it runs nothing any more; the holder answers for the sealed lot.
  Address const store = record.holders.at(0).address;
  CHECK(s.ask(store, ReadResults{host, "lot", record.stamp, 0, 1u << 20, 0}).first != 0);
  s.until([&] {
    return s.ask(store, ReadResults{host, "lot", record.sealedStamp, 0, 1u << 20, 0, true, 1}).second.results.size() ==
           1;
  });
  LONGS_EQUAL(1, s.runs["item-0"]);
}
TEST(lotSubmission, aStoreWithASpareCopyOfASealedLotCanBeRetired) {
  SmallSystem s;
  s.addStore();
  s.addStore();
  string const body =
      "{\"requests\":[{\"serverId\":\"item-0\",\"urlPath\":\"/night/"
      "x\",\"headerMap\":{},\"payload\":\"QQ==\",\"tokens\":10}]}";
  s.until([&] { return s.call(s.settings[2].outside, "POST", "/night/x", body).first == 202; });
  Address const control = s.settings[0].controlAddress(s.ip(0));
  LotRecord record;
  // One copy is needed; the other is a spare one.
  s.until([&] {
    record = s.ask(control, FindLot{host, "lot", 0}).second.lot;
    return record.isSealed() && record.holders.size() == 2;
  });
  string const path = "/retire/" + record.holders.back().name;
  s.until([&] { return s.call(s.settings[0].control, "POST", path, "{\"overS\":5}").first == 200; });
  s.until([&] { return s.call(s.settings[0].control, "GET", path).second.find("\"finished\"") != string::npos; });
  LotRecord const after = s.ask(control, FindLot{host, "lot", 0}).second.lot;
  CHECK(!after.holders.empty());
  for (StoreRef const& holder : after.holders) CHECK(holder.name != record.holders.back().name);
}
