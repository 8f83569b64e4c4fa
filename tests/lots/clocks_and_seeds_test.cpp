// Guards against wall clocks that step, and against seeds that have no disk and so start without a membership.
#include "consensus/heartbeat_targets.hpp"
#include "lots/coordination/lease_grants.hpp"
#include "lots/execution/lot_ages.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
LotKey const agedLot("host", "lot");

/// Three members with disks and three control nodes without start at once; the latter are everyone's seeds. Returns how
/// many nodes know the membership after a number of heartbeat rounds.
std::size_t nodesKnowingMembership(std::size_t rounds, bool membersCallSeeds) {
  vector<string> const ips{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"};
  vector<Address> const seeds{{ips[3], 1}, {ips[4], 1}, {ips[5], 1}};
  Membership membership;
  membership.number = MembershipNumber(4);
  for (std::size_t i = 0; i < 3; ++i) membership.members.push_back(Member{NodeId(i + 1), "m", ips[i], "z"});
  std::map<string, Membership> known;
  for (std::size_t i = 0; i < ips.size(); ++i) known[ips[i]] = i < 3 ? membership : Membership();
  for (std::size_t round = 0; round < rounds; ++round) {
    std::map<string, Membership> const before = known;
    for (string const& ip : ips) {
      bool const member = before.at(ip).number.value != 0;
      vector<Address> const calledSeeds = member && !membersCallSeeds ? vector<Address>() : seeds;
      for (string const& to : heartbeatTargets(before.at(ip), ip, calledSeeds))
        if (known[to].number < before.at(ip).number) known[to] = before.at(ip);
    }
  }
  std::size_t count = 0;
  for (std::pair<string const, Membership> const& node : known) count += node.second.number.value != 0;
  return count;
}
}  // namespace

TEST_GROUP(clocksAndSeeds){};

TEST(clocksAndSeeds, seedsWithoutDisksLearnOfTheMembership) {
  LONGS_EQUAL(6, nodesKnowingMembership(1, true));
  LONGS_EQUAL_TEXT(3, nodesKnowingMembership(50, false),
                   "without heartbeats from members to seeds, the seeds never learn the membership");
}

TEST(clocksAndSeeds, aStepOfTheWallClockDoesNotChangeTheAgeOfALot) {
  LotAges ages;
  TimePoint const start = TimePoint() + std::chrono::hours(1);
  ages.learn(agedLot, start);
  ages.learn(agedLot, start + Ms(500));
  Ms const due(8000);
  for (Ms const age : {Ms(0), Ms(700), Ms(7000), Ms(30000)})
    for (Ms const step : {Ms(-600000), Ms(-2000), Ms(0), Ms(2000), Ms(600000)}) {
      TimePoint const now = start + age;
      LONGS_EQUAL(age.count(), ages.atLeast(agedLot, now).count());
      Ms const likely = ages.likely(agedLot, now, age + step, due);
      CHECK(likely >= age);
      CHECK(likely <= std::max(age, due));
    }
  ages.forget(agedLot);
  LONGS_EQUAL(0, ages.atLeast(agedLot, start + due).count());
}

TEST(clocksAndSeeds, aFencedStoreWhoseClockWasSetBackGetsALeaseOnItsNextRequest) {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  LeaseGrants grants(Ms(600), now - Ms(10000));
  NodeId const store(7);
  CHECK(grants.renew(store, 900000, true, now) == LeaseGrants::Decision::granted);
  now += Ms(5000);
  CHECK(grants.fence(store, now));
  // Its clock was set back by ten minutes before it started again.
  std::uint64_t lease = 300000;
  CHECK(grants.renew(store, lease, true, now) == LeaseGrants::Decision::fenced);
  lease = std::max(lease, grants.fencedUpTo(store)) + 1;
  CHECK(grants.renew(store, lease, true, now) == LeaseGrants::Decision::granted);
}
