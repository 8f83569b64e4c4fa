#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
/// Quota for three lots of StoreFleet, which have 10 tokens each.
constexpr std::uint64_t threeLotsTokens = 30;
constexpr int overQuota = static_cast<int>(ErrorCode::lotOverQuota);

/// Submits lots to a route until its quota is used up.
void fill(StoreFleet& fleet, StoreFleet::LotRoute const& route) {
  CHECK(fleet.runUntil([&] { return fleet.submitTo(route, "", "lot-0", 100, threeLotsTokens) == 0; }, Ms(20000)));
  LONGS_EQUAL(0, fleet.submitTo(route, "", "lot-1", 100, threeLotsTokens));
  LONGS_EQUAL(0, fleet.submitTo(route, "", "lot-2", 100, threeLotsTokens));
}
}  // namespace

/// The limit of queued tokens applies to each tenant separately.
TEST_GROUP(tenantQuota){};

TEST(tenantQuota, eachTenantHasItsOwnQuota) {
  StoreFleet fleet("/tmp/tealshelf-tenant-quota", 3, 1, 17620);
  CHECK(fleet.runUntil([&fleet] { return fleet.submitFor("first", "lot-0", 100, threeLotsTokens) == 0; }, Ms(20000)));
  LONGS_EQUAL(0, fleet.submitFor("first", "lot-1", 100, threeLotsTokens));
  LONGS_EQUAL(0, fleet.submitFor("first", "lot-2", 100, threeLotsTokens));
  LONGS_EQUAL(overQuota, fleet.submitFor("first", "lot-3", 100, threeLotsTokens));
  LONGS_EQUAL(0, fleet.submitFor("second", "lot-4", 100, threeLotsTokens));
  // Submitting an accepted lot again succeeds although the quota is used up.
  LONGS_EQUAL(0, fleet.submitFor("first", "lot-2", 100, threeLotsTokens));
}

/// A route's limit of queued tokens is that of its host and prefix; its name may change, and other routes may share it.
TEST_GROUP(routeQuota){};

// Guards against more queued tokens than the limit after a route got another name.
TEST(routeQuota, aRenamedRouteKeepsItsQueuedTokens) {
  StoreFleet fleet("/tmp/tealshelf-route-quota", 3, 1, 17620);
  fill(fleet, {"night", "/night/"});
  LONGS_EQUAL(overQuota, fleet.submitTo({"renamed", "/night/"}, "", "lot-3", 100, threeLotsTokens));
}
// Guards against lots refused for the queued tokens of another route of the same name.
TEST(routeQuota, routesOfTheSameNameHaveTheirOwnQuotas) {
  StoreFleet fleet("/tmp/tealshelf-route-quota", 3, 1, 17620);
  fill(fleet, {"night", "/night/"});
  LONGS_EQUAL(0, fleet.submitTo({"night", "/day/"}, "", "lot-3", 100, threeLotsTokens));
  LONGS_EQUAL(overQuota, fleet.submitTo({"night", "/night/"}, "", "lot-4", 100, threeLotsTokens));
}
// Guards against more queued tokens than the limit beside records of older releases, which tell no prefix.
TEST(routeQuota, lotsOfOlderRecordsCountTowardsEachRouteOfTheirHost) {
  StoreFleet fleet("/tmp/tealshelf-route-quota", 3, 1, 17620);
  fill(fleet, {"night", ""});
  LONGS_EQUAL(overQuota, fleet.submitTo({"renamed", "/night/"}, "", "lot-3", 100, threeLotsTokens));
}
// Guards against lots refused for the tokens of a lot that is being opened on another host.
TEST(routeQuota, aLotBeingOpenedOnAnotherHostDoesNotCount) {
  StoreFleet fleet("/tmp/tealshelf-route-quota", 3, 1, 17620);
  auto const openOn = [](string const& host, string const& id, std::uint64_t tokens) {
    OpenLot open;
    open.lot.host = host;
    open.lot.id = id;
    open.lot.route = "night";
    open.lot.routePrefix = "/night/";
    open.lot.itemCount = 1;
    open.lot.tokens = tokens;
    open.lot.keepForMs = 60000;
    open.maxQueuedTokens = threeLotsTokens;
    return open;
  };
  // Both keyspaces have an owner before the lots are opened together.
  for (char const* const host : {"one.example", "two.example"})
    CHECK(fleet.runUntil([&] { return fleet.ask(fleet.controlAddress(), openOn(host, "none", 0)).first == 0; },
                         Ms(20000)));
  CHECK(fleet.runUntil([&] { return fleet.submit("ready", 100) == 0; }, Ms(20000)));
  auto const one = fleet.startCall(fleet.controlAddress(), openOn("one.example", "lot", threeLotsTokens));
  auto const two = fleet.startCall(fleet.controlAddress(), openOn("two.example", "lot", threeLotsTokens));
  CHECK(fleet.runUntil([&] { return one->first >= 0 && two->first >= 0; }, Ms(10000)));
  LONGS_EQUAL(0, one->first);
  LONGS_EQUAL(0, two->first);
}
