#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
/// Quota for three lots of StoreFleet, which have 10 tokens each.
constexpr std::uint64_t threeLotsTokens = 30;
constexpr int overQuota = static_cast<int>(ErrorCode::lotOverQuota);
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
