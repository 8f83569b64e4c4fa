#include "tests/seeds.hpp"
#include "tests/tenants/quota_fleet_sim.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using sim::QuotaFleet;

namespace {
/// The largest share of the bound that any window of any seed used.
double largestUsedShare(QuotaFleet::Faults faults) {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) worst = std::max(worst, QuotaFleet(seed, faults).run());
  return worst;
}

Bounds bounds() {
  Bounds bounds;
  bounds.inTouch = Ms(4000);
  bounds.quotaWindow = Ms(5000);
  return bounds;
}

std::shared_ptr<Configuration const> limited(double rate, double burst) {
  std::shared_ptr<Configuration> const configuration = std::make_shared<Configuration>();
  configuration->tenants.push_back(Tenant{"t", std::nullopt, rate, burst});
  configuration->tenantsByName["t"] = 0;
  return configuration;
}

Member memberNumber(std::uint64_t number) {
  Member member;
  member.id = NodeId(number);
  return member;
}

/// One of three shards that have been members from the start.
struct ShardRig {
  ShardRig() {
    membership.number = MembershipNumber(1);
    for (std::uint64_t number = 1; number <= 3; ++number) membership.members.push_back(memberNumber(number));
    membership.formerMembers = membership.members;
    shard.setMembership(membership, membership.members[0], now);
  }
  /// Takes credits until none is granted; returns their number.
  int takeAll() {
    int taken = 0;
    while (shard.take("t", now, now).verdict == CreditVerdict::granted) ++taken;
    return taken;
  }
  Membership membership;
  TimePoint now = TimePoint(Ms(1000000));
  QuotaShard shard{bounds()};
};
}  // namespace

/// No window of a tenant exceeds the bound while members crash, are isolated and are replaced.
TEST_GROUP(quotaFleet){};

TEST(quotaFleet, noWindowExceedsItsBound) {
  double const worst = largestUsedShare({});
  CHECK(worst <= 1);
  // The simulation comes close to the bound.
  CHECK(worst > 0.8);
}
TEST(quotaFleet, aLoweredLimitStaysWithinThePreviousBound) {
  CHECK(largestUsedShare({false, false, false, true}) <= 1);
}
/// The simulation detects injected faults.
TEST(quotaFleet, aTakeoverWithoutDelayIsDetected) {
  CHECK(largestUsedShare({true, false, false, false}) > 1);
}
TEST(quotaFleet, aProcessThatStartsWithFullBucketsIsDetected) {
  CHECK(largestUsedShare({false, true, false, false}) > 1);
}
TEST(quotaFleet, aShardThatIgnoresItsLeaseIsDetected) {
  CHECK(largestUsedShare({false, false, true, false}) > 1);
}

TEST_GROUP(quotaShard){};

TEST(quotaShard, grantsItsShareOfTheRate) {
  ShardRig rig;
  rig.shard.setConfiguration(limited(300, 0), rig.now);
  rig.now += Ms(10000);
  rig.takeAll();
  int taken = 0;
  for (int second = 0; second < 10; ++second) {
    rig.now += Ms(20);
    taken += rig.takeAll();
  }
  // A third of 300 a second, with the overrun, for 200 ms.
  CHECK(taken >= 19 && taken <= 21);
}
TEST(quotaShard, reportsWhenToRetry) {
  ShardRig rig;
  rig.shard.setConfiguration(limited(30, 0), rig.now);
  TakeCreditReply const first = rig.shard.take("t", rig.now, rig.now);
  CHECK(first.verdict == CreditVerdict::exhausted);
  CHECK(first.retryAfterMs >= 90 && first.retryAfterMs <= 110);
  // The next refused request is told the time of the token after that.
  CHECK(rig.shard.take("t", rig.now, rig.now).retryAfterMs > first.retryAfterMs);
  CHECK(rig.shard.take("t", rig.now + Ms(110), rig.now + Ms(110)).verdict == CreditVerdict::granted);
}
TEST(quotaShard, grantsNothingWithoutALease) {
  ShardRig rig;
  rig.shard.setConfiguration(limited(300, 0), rig.now);
  TimePoint const contact = rig.now;
  rig.now += shardLease(bounds());
  CHECK(rig.shard.take("t", contact, rig.now).verdict == CreditVerdict::granted);
  rig.now += Ms(1);
  CHECK(rig.shard.take("t", contact, rig.now).verdict == CreditVerdict::notCounting);
  CHECK(rig.shard.take("t", TimePoint(), rig.now).verdict == CreditVerdict::notCounting);
}
TEST(quotaShard, aTenantThatIsReaddedGetsNoNewBurst) {
  ShardRig rig;
  rig.shard.setConfiguration(limited(1, 300), rig.now);
  rig.now += Ms(600000);
  CHECK(rig.takeAll() > 100);
  rig.shard.setConfiguration(std::make_shared<Configuration>(), rig.now);
  CHECK(rig.shard.take("t", rig.now, rig.now).verdict == CreditVerdict::notCounting);
  rig.now += Ms(1000);
  rig.shard.setConfiguration(limited(1, 300), rig.now);
  CHECK(rig.takeAll() <= 1);
}
TEST(quotaShard, aNewTenantMayUseItsBurstAtOnce) {
  ShardRig rig;
  rig.shard.setConfiguration(std::make_shared<Configuration>(), rig.now);
  rig.now += Ms(60000);
  rig.shard.setConfiguration(limited(1, 300), rig.now);
  CHECK(rig.takeAll() > 100);
}
TEST(quotaShard, aLoweredLimitAppliesAtOnce) {
  ShardRig rig;
  rig.shard.setConfiguration(limited(300, 300), rig.now);
  rig.now += Ms(60000);
  rig.shard.setConfiguration(limited(3, 3), rig.now);
  CHECK(rig.takeAll() < 10);
}
TEST(quotaShard, aSmallBurstIsNotDividedIntoFractionsOfTokens) {
  Bounds tight = bounds();
  tight.quotaMargin = 0;
  tight.quotaOverrun = 0;
  RateAllowance const total = totalAllowance(Tenant{"t", std::nullopt, 2, 1}, tight);
  vector<Member> members;
  for (std::uint64_t number = 1; number <= 9; ++number) members.push_back(memberNumber(number));
  LONGS_EQUAL(1, shardsOf(members, "t", total).size());
  LONGS_EQUAL(9, shardsOf(members, "t", totalAllowance(Tenant{"t", std::nullopt, 2, 9}, tight)).size());
}
