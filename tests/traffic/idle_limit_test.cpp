#include "traffic/idle_limit.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr Ms recoveryInterval{4000};
TimePoint const someTime = TimePoint() + std::chrono::hours(1);
}  // namespace

TEST_GROUP(idleLimit){};

TEST(idleLimit, isAShareOfMaxConnections) {
  IdleConnectionLimit limit(recoveryInterval);
  limit.setMaxConnections(440);
  LONGS_EQUAL(55, limit.value(someTime));
  limit.setMaxConnections(3);
  LONGS_EQUAL(1, limit.value(someTime));
}
TEST(idleLimit, halvesWithEachResetAndGrowsAgain) {
  IdleConnectionLimit limit(recoveryInterval);
  limit.setMaxConnections(440);
  limit.noteReset(20, someTime);
  LONGS_EQUAL(10, limit.value(someTime));
  limit.noteReset(10, someTime);
  LONGS_EQUAL(5, limit.value(someTime));
  LONGS_EQUAL(8, limit.value(someTime + 3 * recoveryInterval));
  LONGS_EQUAL(55, limit.value(someTime + 100 * recoveryInterval));
  for (int reset = 0; reset < 10; ++reset) limit.noteReset(0, someTime);
  LONGS_EQUAL(1, limit.value(someTime));
}
/// 320 nodes each hold as many idle connections as their limit allows, and the worker resets new ones above its
/// maximum: resets become rarer, as the nodes together stay within that maximum.
TEST(idleLimit, allNodesTogetherStayWithinTheBound) {
  constexpr std::size_t nodes = 320, maxConnections = 440;
  vector<IdleConnectionLimit> limits(nodes, IdleConnectionLimit(recoveryInterval));
  vector<std::uint64_t> held(nodes, 0);
  for (IdleConnectionLimit& limit : limits) limit.setMaxConnections(maxConnections);
  std::uint64_t total = 0, resets = 0;
  for (std::size_t step = 0; step < 20000; ++step) {
    std::size_t const node = hash64(std::to_string(step)) % nodes;
    TimePoint const now = someTime + Ms(static_cast<std::int64_t>(step));
    if (total >= maxConnections) {
      ++resets;
      limits[node].noteReset(held[node], now);
    } else {
      ++held[node];
      ++total;
    }
    std::uint64_t const kept = std::min(held[node], limits[node].value(now));
    total -= held[node] - kept;
    held[node] = kept;
    CHECK(total <= maxConnections);
  }
  // Without the limit every step after the first 440 would be a reset.
  CHECK(resets < 10000);
}
