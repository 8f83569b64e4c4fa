#include "tests/gauge_value.hpp"
#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
ForwardedCall questionAbout(string const& service) {
  ForwardedCall call;
  call.verb = "GET";
  call.path = "/rollouts/" + service;
  call.budgetMs = 1000;
  return call;
}
}  // namespace

/// Questions about rollouts in a deployment that has none.
TEST_GROUP(rolloutQuestions){};

// Guards against a keyspace that all control nodes keep as somebody asked for a rollout that doesn't exist.
TEST(rolloutQuestions, aQuestionCreatesNoKeyspace) {
  StoreFleet fleet("/tmp/tealshelf-rollout-questions", 1, 0, 17620);
  CHECK(fleet.runUntil([&fleet] { return fleet.submit("lot-0", 100) == 0; }, Ms(20000)));
  double const before = gaugeValue("tealshelf_control_keyspaces");
  CHECK(before > 0);
  LONGS_EQUAL(static_cast<int>(ErrorCode::unknownRollout),
              fleet.ask(fleet.controlAddress(), questionAbout("app")).first);
  DOUBLES_EQUAL(before, gaugeValue("tealshelf_control_keyspaces"), 0.1);
}
