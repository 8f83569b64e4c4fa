#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int lotUnknown = static_cast<int>(ErrorCode::lotUnknown);

/// The keyspaces that the control node owns, as it tells a store.
vector<string> ownedKeyspaces(StoreFleet& fleet) {
  StoreHeartbeat heartbeat;
  heartbeat.self.id = NodeId(77);
  heartbeat.self.name = "asking-store";
  heartbeat.leaving = true;
  return fleet.ask(fleet.controlAddress(), heartbeat).second.ownedKeyspaces;
}

bool ownsLotsOf(StoreFleet& fleet, string const& host) {
  vector<string> const owned = ownedKeyspaces(fleet);
  return std::find(owned.begin(), owned.end(), LotCoordinator::keyspaceOf(host)) != owned.end();
}

/// A fleet whose control node has a keyspace of lots already.
struct UnknownHostFleet : StoreFleet {
  explicit UnknownHostFleet(string folder) : StoreFleet(std::move(folder), 3, 1, 17620) {
    CHECK(runUntil([this] { return submit("lot-0", 100) == 0; }, Ms(20000)));
  }
  /// Long enough for a keyspace to get an owner.
  void settle() {
    runUntil([] { return false; }, Ms(800));
    CHECK(ownsLotsOf(*this, host()));
  }
};
}  // namespace

/// Clients choose the hosts that they ask for; a question about lots leaves nothing behind at the control nodes.
TEST_GROUP(unknownHosts){};

// Guards against control nodes that own, vote on, sync and send heartbeats about each host that anybody has asked for.
TEST(unknownHosts, aReadCreatesNoKeyspace) {
  UnknownHostFleet fleet("/tmp/tealshelf-unknown-hosts");
  std::pair<int, FindLotReply> const found = fleet.ask(fleet.controlAddress(), FindLot{"read.example", "lot-0", 0});
  LONGS_EQUAL(0, found.first);
  CHECK(!found.second.known);
  fleet.settle();
  CHECK(!ownsLotsOf(fleet, "read.example"));
}
// Guards against the same by DELETE.
TEST(unknownHosts, anEndCreatesNoKeyspace) {
  UnknownHostFleet fleet("/tmp/tealshelf-unknown-hosts");
  std::pair<int, FindLotReply> const ended = fleet.ask(fleet.controlAddress(), EndLot{"ended.example", "lot-0", 0});
  LONGS_EQUAL(0, ended.first);
  CHECK(!ended.second.known);
  fleet.settle();
  CHECK(!ownsLotsOf(fleet, "ended.example"));
}
// Guards against the same by the other calls about a lot that may not exist.
TEST(unknownHosts, anAcceptOrACountCreatesNoKeyspace) {
  UnknownHostFleet fleet("/tmp/tealshelf-unknown-hosts");
  AcceptLot const accept{"accepted.example", "lot-0", GenerationStamp(1), 0};
  LONGS_EQUAL(lotUnknown, fleet.ask(fleet.controlAddress(), accept).first);
  std::pair<int, CountRelyingLotsReply> const count =
      fleet.ask(fleet.controlAddress(), CountRelyingLots{"counted.example", "store-0", 0});
  LONGS_EQUAL(0, count.first);
  LONGS_EQUAL(0, count.second.lots);
  fleet.settle();
  CHECK(!ownsLotsOf(fleet, "accepted.example"));
  CHECK(!ownsLotsOf(fleet, "counted.example"));
}
// Guards against lots refused whose route is in the edge node's configuration and not yet in the control node's.
TEST(unknownHosts, aLotOfANewerConfigurationIsAccepted) {
  UnknownHostFleet fleet("/tmp/tealshelf-unknown-hosts");
  OpenLot open;
  open.lot.host = "newer.example";
  open.lot.id = "lot-1";
  open.lot.route = "night";
  open.lot.routePrefix = "/night/";
  open.lot.itemCount = 1;
  open.lot.keepForMs = 60000;
  std::pair<int, OpenLotReply> const opened = fleet.ask(fleet.controlAddress(), open);
  LONGS_EQUAL(0, opened.first);
  AcceptLot const accept{"newer.example", "lot-1", opened.second.lot.stamp, 0};
  LONGS_EQUAL(0, fleet.ask(fleet.controlAddress(), accept).first);
  CHECK(fleet.ask(fleet.controlAddress(), FindLot{"newer.example", "lot-1", 0}).second.known);
}
