#include "tests/control/control_plane.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const evacuation = "/evacuation/z";
string const evacuatedConfiguration =
    R"({"version":1,"routes":[{"name":"r","host":"h","pathStart":"/","kind":"repeatable","timeLimitMs":1000,"targetMs":100,)"
    R"("service":"app"}],"services":[{"name":"app","warmUpS":3,"warmupPerS":12}],"limits":{}})";

string heartbeat(int warmupLeftMs, int callCount) {
  return R"({"service":"app","address":"127.0.0.1:9","zone":"z","version":"v","capacity":8,"state":"ready",)"
         R"("warmupLeftMs":)" +
         std::to_string(warmupLeftMs) + R"(,"callCount":)" + std::to_string(callCount) + "}";
}

/// Credits that all nodes grant for a worker, asked one after the other without a pause.
int creditsOf(ControlPlane& plane, string const& id) {
  int credits = 0;
  for (std::size_t node = 0; node < ControlPlane::nodeCount; ++node)
    while (plane.takeWarmUpCredit(node, id) == CreditVerdict::granted) ++credits;
  return credits;
}
}  // namespace

TEST_GROUP(evacuationOrders){};

TEST(evacuationOrders, areAcknowledgedAtAnyNodeAndAgain) {
  ControlPlane plane;
  // Nodes that may lack workers tell the data plane nothing.
  CHECK(plane.callUntil(200, 0, "/servers/i-1", heartbeat(0, 1)));
  CHECK(plane.callUntil(200, 0, evacuation, "", "POST"));
  LONGS_EQUAL(200, plane.call(1, "POST", evacuation, ""));
  std::optional<Evacuation> const active = plane.evacuationFrom(1, "z", 1);
  CHECK(active && active->isActive);
  CHECK(plane.callUntil(200, 2, evacuation, "", "DELETE"));
  LONGS_EQUAL(200, plane.call(0, "DELETE", evacuation, ""));
  std::optional<Evacuation> const takenBack = plane.evacuationFrom(0, "z", 2);
  CHECK(takenBack && !takenBack->isActive);
  // Repeated orders change nothing.
  LONGS_EQUAL(2, takenBack->revision);
}
TEST(evacuationOrders, ofUnknownZonesAreRefused) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, "/servers/i-1", heartbeat(0, 1)));
  CHECK(plane.callUntil(200, 0, evacuation, "", "DELETE"));
  LONGS_EQUAL(404, plane.call(0, "POST", "/evacuation/nowhere", ""));
  LONGS_EQUAL(405, plane.call(0, "GET", evacuation, ""));
  CHECK_FALSE(plane.publishedEvacuation(0, "z").has_value());
}

/// All control nodes together count what a worker that warms up gets.
TEST_GROUP(warmUpCredits) {
  ControlPlane plane{Ms(2000)};
  /// Puts the configuration in force, and has a worker heard everywhere.
  void begin(int warmupLeftMs) {
    CHECK(plane.callUntil(200, 0, "/settings", evacuatedConfiguration));
    CHECK(plane.callUntil(200, 0, "/servers/i-1", heartbeat(warmupLeftMs, 1)));
    for (std::size_t node = 0; node < ControlPlane::nodeCount; ++node) CHECK(plane.waitForWorker(node, "i-1"));
  }
  void tell(int warmupLeftMs, int callCount) {
    LONGS_EQUAL(200, plane.call(0, "PUT", "/servers/i-1", heartbeat(warmupLeftMs, callCount)));
  }
};

TEST(warmUpCredits, areBoundedForAllNodesTogether) {
  begin(3000);
  for (std::size_t node = 0; node < ControlPlane::nodeCount; ++node) CHECK(plane.countsFor(node, "i-1"));
  plane.run(2 * warmUpWindow);
  TimePoint const startedAt = Clock::now();
  int const credits = creditsOf(plane, "i-1");
  double const seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
  CHECK(credits >= 1);
  CHECK(credits <= 0.7 * 23 * (1 + seconds));
  CHECK(plane.takeWarmUpCredit(0, "i-2") == CreditVerdict::notCounting);
}
TEST(warmUpCredits, areForWorkersThatWarmUp) {
  begin(0);
  tell(3000, 2);
  CHECK(plane.countsFor(0, "i-1"));
  tell(0, 3);
  CHECK(plane.takeWarmUpCredit(0, "i-1") == CreditVerdict::notCounting);
  tell(3000, 4);
  CHECK(plane.takeWarmUpCredit(0, "i-1") != CreditVerdict::notCounting);
  // A late heartbeat doesn't make it warm.
  plane.call(0, "PUT", "/servers/i-1", heartbeat(0, 3));
  CHECK(plane.takeWarmUpCredit(0, "i-1") != CreditVerdict::notCounting);
}
/// They may have gone cold, until they are heard again.
TEST(warmUpCredits, areForWorkersOfAZoneThatWasTakenBack) {
  begin(0);
  CHECK(plane.callUntil(200, 0, evacuation, "", "POST"));
  LONGS_EQUAL(200, plane.call(0, "DELETE", evacuation, ""));
  CHECK(plane.countsFor(0, "i-1"));
  tell(0, 2);
  CHECK(plane.takeWarmUpCredit(0, "i-1") == CreditVerdict::notCounting);
}
