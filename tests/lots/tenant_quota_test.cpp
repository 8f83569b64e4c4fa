#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
/// Each lot of the fleet has 10 tokens; three fit.
constexpr std::uint64_t threeLots = 30;
constexpr int overQuota = static_cast<int>(ErrorCode::lotOverQuota);
}  // namespace

/// The tokens that may wait are counted for each tenant, and no tenant takes another's.
TEST_GROUP(tenantQuota){};

TEST(tenantQuota, eachTenantHasItsOwnTokens) {
  StoreFleet fleet("/tmp/tealshelf-tenant-quota", 3, 1, 17620);
  CHECK(fleet.runUntil([&fleet] { return fleet.submitFor("first", "lot-0", 100, threeLots) == 0; }, Ms(20000)));
  LONGS_EQUAL(0, fleet.submitFor("first", "lot-1", 100, threeLots));
  LONGS_EQUAL(0, fleet.submitFor("first", "lot-2", 100, threeLots));
  LONGS_EQUAL(overQuota, fleet.submitFor("first", "lot-3", 100, threeLots));
  LONGS_EQUAL(0, fleet.submitFor("second", "lot-4", 100, threeLots));
  // One that was taken is acknowledged again, however full it is since.
  LONGS_EQUAL(0, fleet.submitFor("first", "lot-2", 100, threeLots));
}
