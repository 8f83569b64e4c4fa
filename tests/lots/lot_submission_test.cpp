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

/// A real control node, store and two edge nodes with a fake worker, on loopback.
struct SmallCluster {
  SmallCluster()
      : control(io, settings[0]),
        store(io, settings[1]),
        edges{{{io, settings[2]}, {io, settings[3]}}},
        worker(
            io, {ip(0), 17739}, [this](HttpCall request) { return runItem(std::move(request)); }, 1u << 20, Ms(5000)),
        rpc(io, Ms(1000)) {
    worker.start();
    control.start();
    store.start();
    for (EdgeNode& edge : edges) edge.start();
    runUntil(
        [this] { return call(settings[0].control, "PUT", "/settings", configuration, "If-Match", "0").first == 200; });
    string const workerHeartbeat = "{\"service\":\"app\",\"address\":\"" + ip(0) +
                                   ":17739\",\"zone\":\"z\",\"version\":\"v\",\"capacity\":8,\"state\":\"ready\","
                                   "\"warmupLeftMs\":0,\"callCount\":1}";
    runUntil([&] { return call(settings[0].control, "PUT", "/servers/i-1", workerHeartbeat).first == 200; });
    for (int n = 2; n < 4; ++n)
      runUntil([&] { return call(settings[static_cast<std::size_t>(n)].readiness, "GET", "/readiness").first == 200; });
  }
  static string ip(std::size_t index) { return "127.0.0." + std::to_string(95 + index); }
  static std::array<Settings, 4> makeSettings() {
    std::filesystem::remove_all(folder);
    std::array<Settings, 4> all;
    for (std::size_t index = 0; index < all.size(); ++index) all[index] = settingsOf(index, index < 2);
    return all;
  }
  static Settings settingsOf(std::size_t index, bool hasDisk) {
    Settings settings;
    settings.nodeName = "n-" + std::to_string(index);
    settings.ip = ip(index);
    settings.zone = "z";
    settings.firstInternalPort = 17730;
    settings.control = {ip(index), 17738};
    settings.outside = {ip(index), 17736};
    settings.readiness = {ip(index), 17737};
    settings.seeds = {{ip(0), 17738}};
    settings.firstBoot = true;
    settings.reportEvery = Ms(20000);
    // Accepting a submission may take half of it, which must suffice on a busy machine.
    settings.bounds.inTouch = Ms(4800);
    settings.bounds.step = Ms(40);
    if (hasDisk) settings.dataFolder = folder + "/" + settings.nodeName;
    if (hasDisk) std::filesystem::create_directories(settings.dataFolder);
    return settings;
  }
  /// Adds a store, which runs as long as the cluster.
  void addStore() {
    moreSettings.push_back(settingsOf(4 + moreSettings.size(), true));
    moreStores.push_back(std::make_unique<StoreNode>(io, moreSettings.back()));
    moreStores.back()->start();
  }
  Task<HttpReply> runItem(HttpCall request) {
    string const id = request.header("Attempt-Id");
    ++runs[id];
    co_await sleepFor(Ms(5));
    HttpReply reply{200, "id: 1\ndata: " + id + "\n\n", "text/event-stream", {}};
    reply.headers = {{"Attempt-Id", id}, {"Server-Seal", "s"}};
    co_return reply;
  }
  void runUntil(std::function<bool()> const& condition) {
    TimePoint const end = Clock::now() + Ms(8000);
    while (!condition() && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(10));
    }
    CHECK(condition());
  }
  /// Status and body; the status is -1 while the response is awaited, and 0 if the connection failed.
  using HttpResult = std::pair<int, string>;
  std::shared_ptr<HttpResult> startRequest(Address at, string verb, string path, string body, string headerName,
                                           string headerValue) {
    std::shared_ptr<HttpResult> const result = std::make_shared<HttpResult>(-1, "");
    asio::co_spawn(io,
                   sendRequest(std::move(at), std::move(verb), std::move(path), std::move(body), std::move(headerName),
                               std::move(headerValue), result),
                   [result](std::exception_ptr failure) {
                     if (failure) result->first = 0;
                   });
    return result;
  }
  HttpResult call(Address const& at, string const& verb, string const& path, string const& body = "",
                  string const& headerName = "Attempt-Id", string const& headerValue = "lot") {
    std::shared_ptr<HttpResult> const result = startRequest(at, verb, path, body, headerName, headerValue);
    TimePoint const end = Clock::now() + Ms(4000);
    while (result->first < 0 && Clock::now() < end) {
      io.restart();
      io.run_one_for(Ms(10));
    }
    return *result;
  }
  Task<void> sendRequest(Address at, string verb, string path, string body, string headerName, string headerValue,
                         std::shared_ptr<HttpResult> result) {
    tcp::socket socket(io);
    tcp::endpoint const to(asio::ip::make_address(at.ip), static_cast<std::uint16_t>(at.port));
    co_await socket.async_connect(to, asio::use_awaitable);
    http::request<http::string_body> request(http::string_to_verb(verb), path, 11);
    request.set(http::field::host, host);
    request.set(headerName, headerValue);
    request.body() = body;
    request.prepare_payload();
    co_await http::async_write(socket, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    co_await http::async_read(socket, buffer, response, asio::use_awaitable);
    result->second = response.body();
    result->first = static_cast<int>(response.result_int());
  }
  /// Error code and reply of an RPC call; the code is 0 on success.
  template <class Request>
  std::pair<int, typename Request::Reply> ask(Address const& to, Request const& request) {
    using Result = std::pair<int, typename Request::Reply>;
    std::shared_ptr<Result> const result = std::make_shared<Result>(-1, typename Request::Reply());
    asio::co_spawn(io, rpc.call(to, request, Ms(2000)),
                   [result](std::exception_ptr failure, typename Request::Reply reply) {
                     result->second = std::move(reply);
                     try {
                       if (failure) std::rethrow_exception(failure);
                       result->first = 0;
                     } catch (Error const& error) {
                       result->first = static_cast<int>(error.code());
                     }
                   });
    runUntil([result] { return result->first >= 0; });
    return *result;
  }
  /// The body that an edge node answers with for the results of the lot.
  string listResults(int edge) {
    return call(settings[static_cast<std::size_t>(edge)].outside, "GET", "/lots/lot?startAfter=0").second;
  }
  asio::io_context io{1};
  std::array<Settings, 4> settings = makeSettings();
  ControlNode control;
  StoreNode store;
  std::array<EdgeNode, 2> edges;
  HttpServer worker;
  RpcClient rpc;
  std::map<string, int> runs;  ///< by item id
  std::deque<Settings> moreSettings;
  vector<std::unique_ptr<StoreNode>> moreStores;
};
}  // namespace

TEST_GROUP(lotSubmission){};

TEST(lotSubmission, aLotSubmittedAtTwoEdgesAtOnceRunsOnce) {
  SmallCluster cluster;
  string items;
  for (int n = 0; n < itemCount; ++n)
    items += string(n ? "," : "") + "{\"serverId\":\"item-" + std::to_string(n) +
             "\",\"urlPath\":\"/night/x\",\"headerMap\":{},\"payload\":\"QQ==\",\"tokens\":10}";
  string const body = "{\"requests\":[" + items + "]}";
  for (int turn = 0; turn < 3; ++turn) {
    vector<std::shared_ptr<SmallCluster::HttpResult>> results;
    for (int n = 0; n < 6; ++n)
      results.push_back(cluster.startRequest(cluster.settings[static_cast<std::size_t>(2 + n % 2)].outside, "POST",
                                             "/night/x", body, "Attempt-Id", "lot"));
    cluster.runUntil([&] {
      return std::all_of(results.begin(), results.end(), [](auto const& result) { return result->first >= 0; });
    });
    for (std::shared_ptr<SmallCluster::HttpResult> const& result : results)
      CHECK(result->first == 202 || result->first == 500);
  }
  LONGS_EQUAL(202, cluster.call(cluster.settings[2].outside, "POST", "/night/x", body).first);
  string const complete = "\"nextToken\":" + std::to_string(itemCount);
  cluster.runUntil([&] { return cluster.listResults(2).find(complete) != string::npos; });
  cluster.runUntil([&] { return cluster.listResults(3) == cluster.listResults(2); });
  LONGS_EQUAL(itemCount, cluster.runs.size());
  for (std::pair<string const, int> const& run : cluster.runs) LONGS_EQUAL_TEXT(1, run.second, run.first.c_str());
}
/// Each step of a submission is repeated, delayed, or sent under the stamp of a superseded attempt.
TEST(lotSubmission, aRepeatedOrLateStepHasNoEffect) {
  SmallCluster cluster;
  Address const control = cluster.settings[0].controlAddress(cluster.ip(0));
  OpenLot open;
  open.lot.id = "lot";
  open.lot.host = host;
  open.lot.route = "night";
  open.lot.itemCount = 1;
  open.lot.tokens = 10;
  open.lot.keepForMs = 60000;
  open.lot.dueInMs = 300;
  string const items = serialize(vector<ItemRecord>{{"item-0", "/night/x", "b", {}, 10}});
  cluster.runUntil([&] { return cluster.ask(control, open).first == 0; });
  LotRecord const first = cluster.ask(control, open).second.lot, second = cluster.ask(control, open).second.lot;
  CHECK(first.stamp < second.stamp);
  Address const store = first.holders.at(0).address;
  LONGS_EQUAL(0, cluster.ask(store, CreateReplica{second, items, {}, true}).first);
  // The first attempt is superseded: its late replica is refused, and so is its acceptance.
  LONGS_EQUAL(static_cast<int>(ErrorCode::staleStamp), cluster.ask(store, CreateReplica{first, items, {}, true}).first);
  LONGS_EQUAL(static_cast<int>(ErrorCode::staleStamp),
              cluster.ask(control, AcceptLot{host, "lot", first.stamp, 0}).first);
  LONGS_EQUAL(0, cluster.ask(store, CreateReplica{second, items, {}, true}).first);
  for (int n = 0; n < 2; ++n) LONGS_EQUAL(0, cluster.ask(control, AcceptLot{host, "lot", second.stamp, 0}).first);
  std::pair<int, OpenLotReply> const again = cluster.ask(control, open);
  CHECK(again.first == 0 && again.second.alreadyAccepted && again.second.lot.stamp == second.stamp);
  cluster.runUntil([&] { return cluster.listResults(2).find("\"nextToken\":1") != string::npos; });
  LONGS_EQUAL(1, cluster.runs["item-0"]);
  for (int n = 0; n < 2; ++n) CHECK(cluster.ask(control, EndLot{host, "lot", 0}).second.known);
  CHECK(cluster.ask(control, open).second.alreadyAccepted);
  LONGS_EQUAL(1, cluster.runs["item-0"]);
}

/// Once all results are listed the lot is sealed: the store drops the item bodies, and readers see the same results.
TEST(lotSubmission, aCompleteLotIsSealedAndReadsTheSame) {
  SmallCluster cluster;
  string const body =
      "{\"requests\":[{\"serverId\":\"item-0\",\"urlPath\":\"/night/"
      "x\",\"headerMap\":{},\"payload\":\"QQ==\",\"tokens\":10}]}";
  cluster.runUntil([&] { return cluster.call(cluster.settings[2].outside, "POST", "/night/x", body).first == 202; });
  cluster.runUntil([&] { return cluster.listResults(2).find("\"nextToken\":1") != string::npos; });
  string const listed = cluster.listResults(2);
  Address const control = cluster.settings[0].controlAddress(cluster.ip(0));
  LotRecord record;
  cluster.runUntil([&] {
    record = cluster.ask(control, FindLot{host, "lot", 0}).second.lot;
    return record.isSealed();
  });
  LONGS_EQUAL(1, record.sealedResults);
  CHECK(record.stamp > record.sealedStamp);
  cluster.runUntil([&] { return cluster.listResults(3) == listed; });
  STRCMP_EQUAL(listed.c_str(), cluster.listResults(2).c_str());
  // The store no longer runs the lot, so it refuses a read as primary; it answers one for the sealed lot.
  Address const store = record.holders.at(0).address;
  CHECK(cluster.ask(store, ReadResults{host, "lot", record.stamp, 0, 1u << 20, 0}).first != 0);
  cluster.runUntil([&] {
    return cluster.ask(store, ReadResults{host, "lot", record.sealedStamp, 0, 1u << 20, 0, true, 1})
               .second.results.size() == 1;
  });
  LONGS_EQUAL(1, cluster.runs["item-0"]);
}
TEST(lotSubmission, aStoreWithASpareCopyOfASealedLotCanBeRetired) {
  SmallCluster cluster;
  cluster.addStore();
  cluster.addStore();
  string const body =
      "{\"requests\":[{\"serverId\":\"item-0\",\"urlPath\":\"/night/"
      "x\",\"headerMap\":{},\"payload\":\"QQ==\",\"tokens\":10}]}";
  cluster.runUntil([&] { return cluster.call(cluster.settings[2].outside, "POST", "/night/x", body).first == 202; });
  Address const control = cluster.settings[0].controlAddress(cluster.ip(0));
  LotRecord record;
  // One copy is required; the second is a spare.
  cluster.runUntil([&] {
    record = cluster.ask(control, FindLot{host, "lot", 0}).second.lot;
    return record.isSealed() && record.holders.size() == 2;
  });
  string const path = "/retire/" + record.holders.back().name;
  cluster.runUntil(
      [&] { return cluster.call(cluster.settings[0].control, "POST", path, "{\"overS\":5}").first == 200; });
  cluster.runUntil([&] {
    return cluster.call(cluster.settings[0].control, "GET", path).second.find("\"finished\"") != string::npos;
  });
  LotRecord const after = cluster.ask(control, FindLot{host, "lot", 0}).second.lot;
  CHECK(!after.holders.empty());
  for (StoreRef const& holder : after.holders) CHECK(holder.name != record.holders.back().name);
}
