#include "tests/control/control_plane.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const workerPath = "/servers/i-1";

string heartbeatWithState(string const& state, int heartbeatSequence) {
  return "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"v\",\"capacity\":8,\"state\":"
         "\"" +
         state + "\",\"warmupLeftMs\":0,\"callCount\":" + std::to_string(heartbeatSequence) + "}";
}
}  // namespace

TEST_GROUP(workerDirectory){};

TEST(workerDirectory, aWorkerThatLeavesIsAcknowledgedOnceAMajorityKnows) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, workerPath, heartbeatWithState("ready", 1)));
  CHECK(plane.callUntil(200, 0, workerPath, heartbeatWithState("draining", 2)));
  LONGS_EQUAL(200, plane.call(0, "DELETE", workerPath, ""));
}
TEST(workerDirectory, aNodeThatWasJustPartitionedAcknowledgesNoWorkerThatLeaves) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, workerPath, heartbeatWithState("ready", 1)));
  CHECK(plane.callUntil(200, 0, "/servers/i-2", heartbeatWithState("ready", 1)));
  plane.freeze(1);
  plane.freeze(2);
  // The node still believes that it is in contact with a majority: a worker that stays is acknowledged.
  LONGS_EQUAL(200, plane.call(0, "PUT", "/servers/i-3", heartbeatWithState("ready", 1)));
  LONGS_EQUAL(503, plane.call(0, "PUT", workerPath, heartbeatWithState("draining", 2)));
  LONGS_EQUAL_TEXT(503, plane.call(0, "PUT", workerPath, heartbeatWithState("draining", 2)),
                   "the repeated call must be refused too");
  LONGS_EQUAL(503, plane.call(0, "DELETE", "/servers/i-2", ""));
}
TEST(workerDirectory, oneFrozenNodeDoesNotDelayAcknowledgements) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, workerPath, heartbeatWithState("ready", 1)));
  plane.freeze(2);
  LONGS_EQUAL(200, plane.call(0, "PUT", workerPath, heartbeatWithState("draining", 2)));
}
TEST(workerDirectory, aNodeThatLostItsRegistryFetchesIt) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, workerPath, heartbeatWithState("ready", 1)));
  CHECK(plane.callUntil(200, 1, "/servers/i-2", heartbeatWithState("ready", 1)));
  plane.restartWithoutWorkers(2);
  CHECK(plane.waitForWorker(2, "i-1"));
  CHECK(plane.waitForWorker(2, "i-2"));
}
