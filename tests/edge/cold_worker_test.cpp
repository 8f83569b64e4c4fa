#include "tests/edge/kept_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
Script const answersWell{"", true, answerText(200, "$ID", "Server-Seal: s\r\n", "own $ID"), Script::End::keep, ""};
}  // namespace

/// A worker that warms up bears few requests a second, from all nodes together.
TEST_GROUP(coldWorkers){};

/// Incident FAILBACK: a cold worker looks idle, so that each node takes it for the best of all.
TEST(coldWorkers, getNothingThatWasNotCountedForAllNodes) {
  EdgeRig rig(answersWell);
  CHECK(rig.prime());
  rig.hearHeartbeat(1, Ms(3000));
  rig.creditVerdict = CreditVerdict::exhausted;
  for (int number = 0; number < 40; ++number) LONGS_EQUAL(200, rig.call("/once/x", "id1").status);
  LONGS_EQUAL(40, rig.workers[0].sends);
  LONGS_EQUAL(0, rig.workers[1].sends);
}
