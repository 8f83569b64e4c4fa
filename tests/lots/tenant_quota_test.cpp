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
