#include "tests/control/control_plane.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const evacuation = "/evacuation/z";
string const warmUpConfiguration =
    R"({"version":1,"routes":[{"name":"r","host":"h","pathStart":"/","kind":"repeatable","timeLimitMs":1000,"targetMs":100,)"
    R"("service":"app"}],"services":[{"name":"app","warmUpS":3,"warmupPerS":12}],"limits":{}})";

string heartbeat(int warmupLeftMs, int heartbeatSequence) {
  return R"({"service":"app","address":"127.0.0.1:9","zone":"z","version":"v","capacity":8,"state":"ready",)"
         R"("warmupLeftMs":)" +
         std::to_string(warmupLeftMs) + R"(,"callCount":)" + std::to_string(heartbeatSequence) + "}";
}

/// Takes credits for a worker at one node after the other until each refuses; returns how many were granted.
int takeAllCredits(ControlPlane& plane, string const& id) {
  int credits = 0;
  for (std::size_t node = 0; node < ControlPlane::nodeCount; ++node)
    while (plane.takeWarmUpCredit(node, id) == CreditVerdict::granted) ++credits;
  return credits;
}
}  // namespace

TEST_GROUP(evacuationOrders){};

TEST(evacuationOrders, areAcknowledgedAtAnyNodeAndWhenRepeated) {
  ControlPlane plane;
  // Nodes whose registry may be incomplete publish nothing.
  CHECK(plane.callUntil(200, 0, "/servers/i-1", heartbeat(0, 1)));
  CHECK(plane.callUntil(200, 0, evacuation, "", "POST"));
  LONGS_EQUAL(200, plane.call(1, "POST", evacuation, ""));
  std::optional<Evacuation> const active = plane.evacuationFrom(1, "z", 1);
  CHECK(active && active->isActive);
  CHECK(plane.callUntil(200, 2, evacuation, "", "DELETE"));
  LONGS_EQUAL(200, plane.call(0, "DELETE", evacuation, ""));
  std::optional<Evacuation> const withdrawn = plane.evacuationFrom(0, "z", 2);
  CHECK(withdrawn && !withdrawn->isActive);
  // Repeated orders change nothing.
  LONGS_EQUAL(2, withdrawn->revision);
}
TEST(evacuationOrders, ofUnknownZonesAreRefused) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, "/servers/i-1", heartbeat(0, 1)));
  CHECK(plane.callUntil(200, 0, evacuation, "", "DELETE"));
  LONGS_EQUAL(404, plane.call(0, "POST", "/evacuation/nowhere", ""));
  LONGS_EQUAL(405, plane.call(0, "GET", evacuation, ""));
  CHECK_FALSE(plane.publishedEvacuation(0, "z").has_value());
}

/// The control nodes together limit the requests to a worker that warms up.
TEST_GROUP(warmUpCredits) {
  ControlPlane plane{Ms(2000)};
  /// Applies the configuration, and registers a worker at all nodes.
  void configureAndRegister(int warmupLeftMs) {
    CHECK(plane.callUntil(200, 0, "/settings", warmUpConfiguration));
    CHECK(plane.callUntil(200, 0, "/servers/i-1", heartbeat(warmupLeftMs, 1)));
    for (std::size_t node = 0; node < ControlPlane::nodeCount; ++node) CHECK(plane.waitForWorker(node, "i-1"));
  }
  void sendHeartbeat(int warmupLeftMs, int heartbeatSequence) {
    LONGS_EQUAL(200, plane.call(0, "PUT", "/servers/i-1", heartbeat(warmupLeftMs, heartbeatSequence)));
  }
};

TEST(warmUpCredits, areBoundedForAllNodesTogether) {
  configureAndRegister(3000);
  for (std::size_t node = 0; node < ControlPlane::nodeCount; ++node) CHECK(plane.waitUntilCountsFor(node, "i-1"));
  plane.run(2 * warmUpWindow);
  TimePoint const startedAt = Clock::now();
  int const credits = takeAllCredits(plane, "i-1");
  double const seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
  CHECK(credits >= 1);
  CHECK(credits <= 0.7 * 23 * (1 + seconds));
  CHECK(plane.takeWarmUpCredit(0, "i-2") == CreditVerdict::notCounting);
}
TEST(warmUpCredits, areCountedOnlyWhileAWorkerWarmsUp) {
  configureAndRegister(0);
  sendHeartbeat(3000, 2);
  CHECK(plane.waitUntilCountsFor(0, "i-1"));
  sendHeartbeat(0, 3);
  CHECK(plane.takeWarmUpCredit(0, "i-1") == CreditVerdict::notCounting);
  sendHeartbeat(3000, 4);
  CHECK(plane.takeWarmUpCredit(0, "i-1") != CreditVerdict::notCounting);
  // An outdated heartbeat doesn't end the warm-up.
  plane.call(0, "PUT", "/servers/i-1", heartbeat(0, 3));
  CHECK(plane.takeWarmUpCredit(0, "i-1") != CreditVerdict::notCounting);
}
/// The workers may have gone cold; their next heartbeat tells.
TEST(warmUpCredits, areCountedAfterAnEvacuationUntilTheNextHeartbeat) {
  configureAndRegister(0);
  CHECK(plane.callUntil(200, 0, evacuation, "", "POST"));
  LONGS_EQUAL(200, plane.call(0, "DELETE", evacuation, ""));
  CHECK(plane.waitUntilCountsFor(0, "i-1"));
  sendHeartbeat(0, 2);
  CHECK(plane.takeWarmUpCredit(0, "i-1") == CreditVerdict::notCounting);
}
