#include "traffic/load_balancer.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr Ms shortest{500}, longest{4000};
TimePoint const reachabilityStart(Ms(1000000));

Worker workerIn(string const& zone, string const& id) {
  Worker worker;
  worker.id = id;
  worker.zone = zone;
  return worker;
}

/// A balancer of a node in zone "own", and workers of a few zones.
struct BalancerRig {
  Settings settings;
  std::map<string, Worker> workers;
  std::optional<LoadBalancer> balancer;
  explicit BalancerRig(vector<string> const& zones) {
    settings.zone = "own";
    for (string const& zone : zones)
      for (string const& number : {"1", "2"}) workers[zone + number] = workerIn(zone, zone + number);
    balancer.emplace(settings);
  }
  void silence(string const& zone) {
    balancer->noteUnreached(workers[zone + "1"]);
    balancer->noteUnreached(workers[zone + "2"]);
  }
};
}  // namespace

TEST_GROUP(zoneReachability){};

TEST(zoneReachability, oneSilentWorkerIsNoSilentZone) {
  ZoneReachability zones(shortest, longest);
  zones.noteSilence("a", "w1", reachabilityStart);
  zones.noteSilence("a", "w1", reachabilityStart);
  CHECK(!zones.isSilent("a"));
  CHECK(!zones.isAvoided("a", reachabilityStart));
}
TEST(zoneReachability, twoSilentWorkersMakeOnlyTheirOwnZoneSilent) {
  ZoneReachability zones(shortest, longest);
  zones.noteSilence("a", "w1", reachabilityStart);
  zones.noteSilence("a", "w2", reachabilityStart);
  CHECK(zones.isSilent("a"));
  CHECK(zones.isAvoided("a", reachabilityStart));
  CHECK(!zones.isAvoided("b", reachabilityStart));
}
TEST(zoneReachability, isTriedAgainWithAGrowingPause) {
  ZoneReachability zones(shortest, longest);
  zones.noteSilence("a", "w1", reachabilityStart);
  zones.noteSilence("a", "w2", reachabilityStart);
  CHECK(zones.isAvoided("a", reachabilityStart + shortest - Ms(1)));
  CHECK(!zones.isAvoided("a", reachabilityStart + shortest));
  CHECK(zones.isSilent("a"));
  // Concurrent attempts count as one.
  zones.noteSilence("a", "w3", reachabilityStart + shortest);
  zones.noteSilence("a", "w4", reachabilityStart + shortest);
  CHECK(zones.isAvoided("a", reachabilityStart + shortest + 2 * shortest - Ms(1)));
  CHECK(!zones.isAvoided("a", reachabilityStart + shortest + 2 * shortest));
  TimePoint now = reachabilityStart;
  for (int i = 0; i < 10; ++i) {
    now += longest;
    zones.noteSilence("a", "w1", now);
  }
  CHECK(zones.isAvoided("a", now + longest - Ms(1)));
  CHECK(!zones.isAvoided("a", now + longest));
}
TEST(zoneReachability, anyResponseOfTheZoneEndsIt) {
  ZoneReachability zones(shortest, longest);
  zones.noteSilence("a", "w1", reachabilityStart);
  zones.noteAnswer("a");
  zones.noteSilence("a", "w2", reachabilityStart);
  CHECK(!zones.isSilent("a"));
  zones.noteSilence("a", "w1", reachabilityStart);
  CHECK(zones.isSilent("a"));
  zones.noteAnswer("a");
  CHECK(!zones.hasSilent());
}
TEST(zoneReachability, aNodeIsCutOffOnceEveryOtherZoneIsSilent) {
  BalancerRig rig({"own", "a", "b"});
  rig.silence("a");
  CHECK(!rig.balancer->isZonePartitioned(rig.workers));
  rig.silence("b");
  CHECK(rig.balancer->isZonePartitioned(rig.workers));
  rig.balancer->noteReached(rig.workers["a1"]);
  CHECK(!rig.balancer->isZonePartitioned(rig.workers));
}
/// With one other zone only, the nodes of both could consider themselves partitioned, and none would be ready.
TEST(zoneReachability, oneOtherZoneIsNotEnough) {
  BalancerRig rig({"own", "a"});
  rig.silence("a");
  CHECK(!rig.balancer->isZonePartitioned(rig.workers));
}
TEST(zoneReachability, workersOfASilentZoneAreTheLastResort) {
  BalancerRig rig({"own", "a"});
  Worker third = workerIn("a", "a3");
  rig.balancer->markHealthy("a3");
  CHECK(!rig.balancer->isLastResort(third));
  rig.silence("a");
  CHECK(rig.balancer->isLastResort(third));
}
