#include "lots/api/lot_api.hpp"
#include "tests/wire/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const ip = loopbackOfThisProcess(), apiHost = "shop.example";
string const apiConfiguration =
    "{\"version\":1,\"routes\":[{\"name\":\"night\",\"host\":\"shop.example\",\"pathStart\":\"/night/\",\"kind\":"
    "\"bulk\",\"timeLimitMs\":9000,\"targetMs\":500,\"priority\":2,\"service\":\"app\",\"tries\":3,\"dueInMs\":300,"
    "\"keepForS\":60,\"maxQueuedTokens\":0}],\"services\":[{\"name\":\"app\",\"healthPath\":\"/h\",\"maxConnections\":"
    "100,\"protocol\":\"h1\",\"useTls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerWaitMs\":3000,\"idleLimitMs\":15000}}";

/// The LotApi of an edge node with a fake control node and two fake stores: the former primary of a lot, which accepts
/// connections and never answers, and the new one.
struct LotApiRig {
  LotApiRig()
      : rpc(io, settings.bounds.inTouch / 2),
        control(io, settings.controlAddress(ip), settings.bounds.inTouch),
        publisher(io, settings, 0),
        silentStore(io, {asio::ip::make_address(ip), 17695}),
        store(io, {ip, 17696}, settings.bounds.inTouch),
        view(io, settings, rpc, "edge", {ip, 17697}),
        relay(io, {ip, 17697}, settings.bounds.inTouch),
        lots(settings, rpc, view) {
    publisher.proof = [] { return UpdatePublisher::Proof{true, 0, Clock::now()}; };
    publisher.setConfiguration(1, apiConfiguration);
    control.on<UpdateRequest>([this](UpdateRequest request) { return publisher.serve(std::move(request)); });
    control.on<FindLot>([this](FindLot request) -> Task<FindLotReply> {
      askedFor = request.lot;
      if (failure) throw Error(*failure);
      co_return FindLotReply{true, record};
    });
    store.on<ReadResults>([](ReadResults) -> Task<ReadResultsReply> { co_return ReadResultsReply{1, {}, {}}; });
    store.on<ReadItem>([](ReadItem) -> Task<ReadItemReply> { co_return ReadItemReply{true, false, "body"}; });
    record.id = "lot";
    record.host = apiHost;
    record.state = LotState::accepted;
    control.start();
    store.start();
    view.start(relay);
    for (int turn = 0; turn < 400 && !view.isFresh(); ++turn) run(Ms(5));
  }
  static Settings makeSettings() {
    Settings settings;
    settings.nodeName = "e-1";
    settings.ip = ip;
    settings.zone = "z";
    settings.firstInternalPort = 17690;
    settings.seeds = {{ip, 17698}};
    settings.bounds.settleWithin = Ms(300);
    return settings;
  }
  void setPrimaryPort(int port) { record.holders = {StoreRef{NodeId(), "s-1", "z", {ip, port}}}; }
  void run(Ms duration) {
    io.restart();
    io.run_for(duration);
  }
  /// The status of the response to a client's request.
  int call(string const& target, Ms hold, string const& tenant = "") {
    std::shared_ptr<int> const status = std::make_shared<int>(0);
    asio::co_spawn(io, lots.call(LotCaller{apiHost, tenant}, "GET", target, hold),
                   [status](std::exception_ptr failure, HttpReply reply) { *status = failure ? -1 : reply.status; });
    for (int turn = 0; turn < 800 && !*status; ++turn) run(Ms(5));
    return *status;
  }
  asio::io_context io{1};
  Settings settings = makeSettings();
  RpcClient rpc;
  RpcServer control;
  UpdatePublisher publisher;
  tcp::acceptor silentStore;
  RpcServer store;
  FleetView view;
  RpcServer relay;
  LotApi lots;
  LotRecord record;
  std::optional<ErrorCode> failure;  ///< that the control node answers with
  string askedFor;                   ///< the lot in the last request to the control node
};

void readAfterChangeOfPrimary(string const& target, Ms hold) {
  LotApiRig rig;
  rig.setPrimaryPort(17695);
  rig.call(target, hold);
  // Another store becomes the primary while the edge node has the former one cached.
  rig.setPrimaryPort(17696);
  rig.call(target, hold);
  LONGS_EQUAL(200, rig.call(target, hold));
}
}  // namespace

/// A cached record must be dropped when the primary that it names doesn't answer.
TEST_GROUP(lotApi){};

TEST(lotApi, resultsAreReadFromTheNewPrimaryIfTheFormerOneIsUnresponsive) {
  readAfterChangeOfPrimary("/lots/lot?startAfter=0", Ms(300));
}
TEST(lotApi, itemsAreReadFromTheNewPrimaryIfTheFormerOneIsUnresponsive) {
  readAfterChangeOfPrimary("/items/lot?serverId=item-0", Ms(0));
}

/// A client gets a 4xx status only for errors about the lot or the request itself.
TEST_GROUP(lotCalls){};

TEST(lotCalls, internalErrorsAnswer503AndErrorsAboutTheLotAnswer4xx) {
  for (ErrorCode const code : {ErrorCode::badMessage, ErrorCode::unknownNode, ErrorCode::noQuorum}) {
    LotApiRig rig;
    rig.failure = code;
    LONGS_EQUAL(503, rig.call("/lots/lot?startAfter=0", Ms(0)));
  }
  LotApiRig rig;
  rig.failure = ErrorCode::lotUnknown;
  LONGS_EQUAL(404, rig.call("/lots/lot?startAfter=0", Ms(0)));
  LONGS_EQUAL(400, rig.call("/lots/lot?startAfter=x", Ms(0)));
}

/// Lots belong to tenants; two tenants may use the same lot id.
TEST_GROUP(lotsOfTenants){};

TEST(lotsOfTenants, eachTenantReadsOnlyItsOwnLots) {
  LotApiRig rig;
  rig.setPrimaryPort(17696);
  LONGS_EQUAL(200, rig.call("/lots/lot?startAfter=0", Ms(0), "lantern"));
  STRCMP_EQUAL("lantern/lot", rig.askedFor.c_str());
  rig.call("/items/lot?serverId=i", Ms(0), "ferry");
  STRCMP_EQUAL("ferry/lot", rig.askedFor.c_str());
}
TEST(lotsOfTenants, scopedLotIdsAreUnique) {
  CHECK(scopedLotId("a", "b/c") != scopedLotId("a/b", "c"));
  CHECK(scopedLotId("a%", "b") != scopedLotId("a", "%b"));
  CHECK(scopedLotId("a", "b") != scopedLotId("", "ab"));
  STRCMP_EQUAL("id", scopedLotId("", "id").c_str());
}
