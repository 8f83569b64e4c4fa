#include "tests/seeds.hpp"
#include "tests/traffic/warm_up_fleet_sim.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using sim::WarmUpFleet;

namespace {
/// The largest share of the bound that any window of any seed used.
double worstShareOfBound(WarmUpFleet::Faults faults) {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= seedCount(300); ++seed) worst = std::max(worst, WarmUpFleet(seed, faults).run());
  return worst;
}

ServiceSettings warmingService(double perSecond) {
  ServiceSettings service;
  service.warmUp = Ms(3000);
  service.warmUpPerSecond = perSecond;
  return service;
}

Bounds boundsOf(double overrun, double margin) {
  Bounds bounds;
  bounds.warmUpOverrun = overrun;
  bounds.warmUpMargin = margin;
  return bounds;
}
}  // namespace

/// Whatever nodes and shards fail, a worker that is warming up gets no more requests in a window than allowed, from 320
/// nodes.
TEST_GROUP(warmUpFleet){};

TEST(warmUpFleet, noWindowExceedsItsBound) {
  double const worst = worstShareOfBound({});
  CHECK_TEXT(worst <= 1, std::to_string(worst).c_str());
  // The simulation comes close enough to the bound to be meaningful.
  CHECK(worst > 0.5);
}
/// The simulation detects each mutation.
TEST(warmUpFleet, uncountedRequestsAreFound) {
  WarmUpFleet::Faults faults;
  faults.sendsUncounted = true;
  CHECK(worstShareOfBound(faults) > 1);
}
TEST(warmUpFleet, nodesThatTrustOldKnowledgeAreFound) {
  WarmUpFleet::Faults faults;
  faults.trustsOldKnowledge = true;
  CHECK(worstShareOfBound(faults) > 1);
}
TEST(warmUpFleet, evacuationsThatAreForgottenAreFound) {
  WarmUpFleet::Faults faults;
  faults.forgetsEvacuations = true;
  CHECK(worstShareOfBound(faults) > 1);
}
TEST(warmUpFleet, creditsThatDoNotLapseAreFound) {
  WarmUpFleet::Faults faults;
  faults.keepsCreditsForever = true;
  CHECK(worstShareOfBound(faults) > 1);
}
TEST(warmUpFleet, shardsThatStartFullAreFound) {
  WarmUpFleet::Faults faults;
  faults.startsShardsFull = true;
  CHECK(worstShareOfBound(faults) > 1);
}

TEST_GROUP(warmUpAllowance){};

TEST(warmUpAllowance, fitsTheBoundWithAReserve) {
  for (double const perSecond : {1.0, 2.5, 12.0, 20.0, 400.0})
    for (double const overrun : {1.0, 1.5, 3.0})
      for (double const margin : {0.0, 5.0, 50.0}) {
        Bounds const bounds = boundsOf(overrun, margin);
        ServiceSettings const service = warmingService(perSecond);
        RateAllowance const allowance = warmUpAllowance(service, bounds);
        double const span = std::chrono::duration<double>(warmUpWindow + warmUpCreditLife()).count();
        CHECK(allowance.perSecond * span + allowance.burst <= 0.81 * warmUpBound(service, bounds));
        CHECK(allowance.perSecond <= perSecond);
        CHECK(allowance.perSecond > 0 && allowance.burst > 0);
      }
}
TEST(warmUpAllowance, grantsNearlyTheConfiguredRate) {
  for (double const perSecond : {12.0, 20.0, 400.0})
    CHECK(warmUpAllowance(warmingService(perSecond), boundsOf(1.5, 5)).perSecond >= 0.9 * perSecond);
}
TEST(warmUpAllowance, aBoundWithoutRoomForATokenGrantsNothing) {
  CHECK_FALSE(grantsAnything(warmUpAllowance(warmingService(1), boundsOf(1, 0))));
  CHECK_FALSE(grantsAnything(warmUpAllowance(warmingService(0), boundsOf(1.5, 5))));
  CHECK(grantsAnything(warmUpAllowance(warmingService(12), boundsOf(1.5, 5))));
}
TEST(warmUpAllowance, theStepDependsOnWhatANodeKnows) {
  CHECK(warmUpStep({false, true, false}) == WarmUpStep::send);
  CHECK(warmUpStep({true, false, true}) == WarmUpStep::send);
  CHECK(warmUpStep({true, true, true}) == WarmUpStep::takeCredit);
  CHECK(warmUpStep({true, true, false}) == WarmUpStep::pass);
  CHECK(warmUpStep({true, false, false}) == WarmUpStep::probe);
}
