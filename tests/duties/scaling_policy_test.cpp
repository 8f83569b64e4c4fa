#include "duties/scaling_policy.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr TimePoint scalingStart = TimePoint() + std::chrono::hours(1);

/// Two zones of 20 workers with ten slots each.
ScalingInputs inputsWith(double inFlight) {
  ScalingInputs inputs;
  inputs.scaling = ServiceScaling{10, 40, Ms(4000)};
  inputs.slotsPerWorker = 10;
  inputs.zones = {{"a", {20, false}}, {"b", {20, false}}};
  inputs.load = ServiceLoad{"lm", inFlight, 0};
  return inputs;
}

/// Runs a policy over an interval, accepting all its orders.
vector<ScalingOrder> ordersOver(ScalingPolicy& policy, ScalingInputs const& inputs, Ms from, Ms until) {
  vector<ScalingOrder> all;
  for (Ms at = from; at < until; at += Ms(500))
    for (ScalingOrder const& order : policy.decide(inputs, scalingStart + at).orders) {
      policy.noteOrdered(order, scalingStart + at);
      all.push_back(order);
    }
  return all;
}
}  // namespace

TEST_GROUP(scalingPolicy){};

TEST(scalingPolicy, aDemandInsideTheUtilizationRangeOrdersNothing) {
  ScalingPolicy policy;
  CHECK(ordersOver(policy, inputsWith(260), Ms(0), Ms(60000)).empty());
}
TEST(scalingPolicy, aHighDemandOrdersWorkersImmediately) {
  ScalingPolicy policy;
  ScalingInputs inputs = inputsWith(300);
  inputs.load.backlog = 100;
  vector<ScalingOrder> const orders = policy.decide(inputs, scalingStart).orders;
  LONGS_EQUAL(2, orders.size());
  LONGS_EQUAL(23, orders[0].wanted);
  CHECK(!orders[0].isReduction);
}
TEST(scalingPolicy, workersAreReducedInStepsDownToTheMinimum) {
  ScalingPolicy policy;
  vector<ScalingOrder> const orders = ordersOver(policy, inputsWith(40), Ms(0), Ms(60000));
  LONGS_EQUAL(6, orders.size());
  LONGS_EQUAL(15, orders[0].wanted);
  LONGS_EQUAL(12, orders[2].wanted);
  LONGS_EQUAL(10, orders[4].wanted);
}
TEST(scalingPolicy, nothingIsOrderedBeforeTheFirstDemand) {
  ScalingPolicy policy;
  ScalingInputs inputs = inputsWith(0);
  inputs.zones["a"].present = 2;
  CHECK(policy.decide(inputs, scalingStart).orders.empty());
}
TEST(scalingPolicy, nothingIsReducedBeforeTheDemandIsKnown) {
  ScalingPolicy policy;
  CHECK(ordersOver(policy, inputsWith(0), Ms(0), Ms(60000)).empty());
  CHECK(ordersOver(policy, inputsWith(40), Ms(60000), Ms(63500)).empty());
  CHECK(!ordersOver(policy, inputsWith(40), Ms(63500), Ms(64500)).empty());
}
TEST(scalingPolicy, anEvacuatedZoneKeepsItsWorkersAndOthersTakeItsShare) {
  ScalingPolicy policy;
  ScalingInputs inputs = inputsWith(320);
  inputs.zones["a"].isEvacuated = true;
  vector<ScalingOrder> const orders = policy.decide(inputs, scalingStart).orders;
  LONGS_EQUAL(1, orders.size());
  STRCMP_EQUAL("b", orders[0].zone.c_str());
  LONGS_EQUAL(36, orders[0].wanted);
}
TEST(scalingPolicy, aRolloutStopsOrders) {
  ScalingPolicy policy;
  ScalingInputs inputs = inputsWith(400);
  inputs.isRollingOut = true;
  CHECK(policy.decide(inputs, scalingStart).orders.empty());
}
TEST(scalingPolicy, anEmptyRangeOrdersNothing) {
  ScalingPolicy policy;
  ScalingInputs inputs = inputsWith(400);
  inputs.scaling = ServiceScaling{40, 10, Ms(4000)};
  CHECK(ordersOver(policy, inputs, Ms(0), Ms(60000)).empty());
  inputs.scaling = ServiceScaling{0, 0, Ms(0)};
  CHECK(ordersOver(policy, inputs, Ms(0), Ms(60000)).empty());
}
