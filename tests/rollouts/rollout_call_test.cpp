#include "rollouts/rollout_call.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
using Kind = OrderDecision::Kind;
Ms const repeatGrace{10000};

int codeOf(string const& body) {
  try {
    parseRolloutOrder(body);
  } catch (Error const& error) {
    return static_cast<int>(error.code());
  }
  return 0;
}

RolloutRecord present(RolloutState state) {
  RolloutRecord record;
  record.service = "s";
  record.target = "v2";
  record.stable = "v1";
  record.state = state;
  record.durationMs = 12000;
  return record;
}
}  // namespace

TEST_GROUP(rolloutCall){};

TEST(rolloutCall, readsAnOrder) {
  RolloutOrder const order = parseRolloutOrder("{\"service\":\"s\",\"targetVersion\":\"v2\",\"overS\":1.5}");
  STRCMP_EQUAL("s", order.service.c_str());
  STRCMP_EQUAL("v2", order.target.c_str());
  LONGS_EQUAL(1500, order.duration.count());
}
TEST(rolloutCall, badOrdersAreRefused) {
  for (string const& body : {string(), string("[]"), string("{\"service\":\"s\",\"targetVersion\":\"v2\"}"),
                             string("{\"service\":\"\",\"targetVersion\":\"v2\",\"overS\":1}"),
                             string("{\"service\":\"s\",\"targetVersion\":7,\"overS\":1}"),
                             string("{\"service\":\"s\",\"targetVersion\":\"v2\",\"overS\":0}"),
                             string("{\"service\":\"s\",\"targetVersion\":\"v2\",\"overS\":-3}"),
                             string("{\"service\":\"s\",\"targetVersion\":\"v2\",\"overS\":1e12}"),
                             "{\"service\":\"" + string(300, 's') + "\",\"targetVersion\":\"v2\",\"overS\":1}"})
    LONGS_EQUAL(412, codeOf(body));
}
TEST(rolloutCall, aFirstOrderStartsARollout) {
  OrderDecision const decision = decideOrder(std::nullopt, {"s", "v2", Ms(12000)}, "v1", Ms(0), repeatGrace);
  CHECK(decision.kind == Kind::write);
  CHECK(decision.record.isServing());
  STRCMP_EQUAL("v1", decision.record.stable.c_str());
}
TEST(rolloutCall, repeatedOrdersAreAcknowledgedInAnyState) {
  for (RolloutState const state : {RolloutState::serving, RolloutState::finished, RolloutState::reverted})
    CHECK(decideOrder(present(state), {"s", "v2", Ms(12000)}, "v1", Ms(13000), repeatGrace).kind == Kind::acknowledge);
}
TEST(rolloutCall, aRevertedVersionMayBeOrderedAgainLater) {
  OrderDecision const decision =
      decideOrder(present(RolloutState::reverted), {"s", "v2", Ms(12000)}, "v1", Ms(30000), repeatGrace);
  CHECK(decision.kind == Kind::write);
  CHECK(decision.record.isServing());
  STRCMP_EQUAL("v1", decision.record.stable.c_str());
}
TEST(rolloutCall, anOrderOfTheOldVersionRevertsAtOnce) {
  OrderDecision const decision =
      decideOrder(present(RolloutState::serving), {"s", "v1", Ms(12000)}, "v1", Ms(3000), repeatGrace);
  CHECK(decision.kind == Kind::write);
  CHECK(decision.record.state == RolloutState::reverted);
  STRCMP_EQUAL("v2", decision.record.target.c_str());
}
TEST(rolloutCall, aThirdVersionIsRefusedWhileARolloutIsInProgress) {
  CHECK(decideOrder(present(RolloutState::serving), {"s", "v3", Ms(12000)}, "v1", Ms(3000), repeatGrace).kind ==
        Kind::refuse);
}
TEST(rolloutCall, theNextRolloutStartsFromTheVersionThatFinished) {
  OrderDecision const decision =
      decideOrder(present(RolloutState::finished), {"s", "v3", Ms(12000)}, "v2", Ms(60000), repeatGrace);
  CHECK(decision.kind == Kind::write);
  STRCMP_EQUAL("v2", decision.record.stable.c_str());
}
TEST(rolloutCall, anOrderOfTheCurrentVersionIsFinishedAtOnce) {
  OrderDecision const decision = decideOrder(std::nullopt, {"s", "v1", Ms(12000)}, "v1", Ms(0), repeatGrace);
  CHECK(decision.record.state == RolloutState::finished);
}
