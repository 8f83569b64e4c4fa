#include "tests/consensus/consensus_sim.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {

/// The node that owns the configuration; the number of nodes if none does.
std::size_t owner(sim::Cluster& c) {
  for (std::size_t i = 0; i < c.nodes().size(); ++i)
    if (c.nodes()[i].consensus->owns("configuration")) return i;
  return c.nodes().size();
}
/// Changes that are confirmed while the owner's disk refuses, and again after it is well.
struct Refusal {
  std::uint64_t during = 0, after = 0;
  std::size_t nextOwner = 0, lastOwner = 0, first = 0;
  string violation;
};
Refusal simulateWithFailingDisk(std::uint64_t seed, bool ineligible, std::size_t nodes) {
  sim::Cluster c(seed, nodes);
  c.run(400);
  Refusal o;
  o.first = owner(c);
  sim::Cluster::Node& x = c.nodes()[o.first];
  auto const load = [&c](std::size_t steps) {
    std::uint64_t const before = c.writes;
    for (std::size_t k = 0; k < steps; ++k) {
      c.step();
      if (k % 7 == 0) c.write();
      if (k % 11 == 0) c.read();
      c.check();
    }
    return c.writes - before;
  };
  x.diskFails = true;
  x.consensus->setIneligibleAsOwner(ineligible);
  load(400);
  o.during = load(400);
  o.nextOwner = owner(c);
  // The process may die before its disk is well; then it starts from what was synced.
  if (c.dice(2)) {
    c.losePower(o.first);
    c.run(200);
    c.start(o.first);
  }
  x.diskFails = false;
  x.consensus->setIneligibleAsOwner(false);
  load(400);
  o.after = load(400);
  o.lastOwner = owner(c);
  o.violation = c.violation;
  return o;
}

/// Disks that refuse and losses of power at random; what broke, if anything.
string simulateRandomDiskFailures(std::uint64_t seed, bool sendsUnsynced) {
  sim::Cluster c(seed, 3);
  c.sendsUnsynced = sendsUnsynced;
  c.run(400);
  for (std::size_t k = 0; k < 6000; ++k) {
    c.step();
    if (k % 5 == 0) c.write();
    if (k % 11 == 0) c.read();
    c.check();
    if (k % 60 != 0) continue;
    std::size_t const i = c.dice(3);
    sim::Cluster::Node& x = c.nodes()[i];
    std::size_t up = 0;
    for (sim::Cluster::Node const& n : c.nodes()) up += n.up;
    if (!x.up)
      c.start(i);
    else if (up == 3 && c.dice(2))
      c.losePower(i);
    else
      x.diskFails = !x.diskFails;
    if (x.up) x.consensus->setIneligibleAsOwner(x.diskFails);
  }
  return c.violation;
}

/// A change is acknowledged by the owner and one other; that one restarts with its newest records
/// lost, and at once the owner is down and the third is back.
string simulateLostRecords(std::uint64_t seed, bool keepsVoting) {
  sim::Cluster c(seed, 3);
  c.keepsVoting = keepsVoting;
  c.joins = true;
  c.run(400);
  auto const load = [&c](std::size_t steps) {
    std::uint64_t const before = c.writes;
    for (std::size_t k = 0; k < steps; ++k) {
      c.step();
      if (k % 5 == 0) c.write();
      if (k % 11 == 0) c.read();
      c.check();
    }
    return c.writes - before;
  };
  std::size_t const first = owner(c), away = (first + 1) % 3, damaged = (first + 2) % 3;
  c.losePower(away);
  load(100);
  c.losePower(damaged);
  c.startWithLostRecords(damaged);
  c.start(away);
  c.losePower(first);
  load(600);
  c.start(first);
  load(800);
  if (c.violation.empty() && load(400) == 0) return "writes stopped";
  if (c.violation.empty() && !c.nodes()[damaged].consensus->holdsAllKeys()) return "the damaged disk was not healed";
  return c.violation;
}
}  // namespace

TEST_GROUP(failingDisk){};

TEST(failingDisk, aNodeWithAFailingDiskGivesUpItsKeyspacesUntilItRecovers) {
  std::size_t stuck = 0;
  for (std::size_t const nodes : {3u, 4u, 5u})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Refusal const o = simulateWithFailingDisk(seed, true, nodes);
      STRCMP_EQUAL("", o.violation.c_str());
      CHECK(o.during > 0);
      CHECK(o.nextOwner != o.first);
      CHECK(o.after > 0);
      LONGS_EQUAL(o.first, o.lastOwner);
      Refusal const kept = simulateWithFailingDisk(seed, false, nodes);
      stuck += kept.nextOwner == kept.first;
    }
  CHECK_TEXT(stuck > 0, "an owner that keeps its keyspaces with a refusing disk was never caught");
}

TEST(failingDisk, aNodeWithAFailingDiskSendsNothingUnsynced) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) STRCMP_EQUAL("", simulateRandomDiskFailures(seed, false).c_str());
  bool caught = false;
  for (std::uint64_t seed = 1; seed <= 2000 && !caught; ++seed)
    caught = !simulateRandomDiskFailures(seed, true).empty();
  CHECK_TEXT(caught, "votes and acks without a sync were never caught");
}

TEST(failingDisk, aDiskWithLostRecordsVotesOnlyAfterCopyingFromAMajority) {
  std::size_t caught = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    STRCMP_EQUAL("", simulateLostRecords(seed, false).c_str());
    caught += !simulateLostRecords(seed, true).empty();
  }
  CHECK_TEXT(caught > 0, "a damaged disk that votes on was never caught");
}

TEST(failingDisk, noMembershipRestoresALostVote) {
  Membership first, second, third;
  first.number = MembershipNumber(1);
  first.members = {Member{NodeId(1), "a", "10.0.0.1", "z", true, true}};
  second = first;
  second.number = MembershipNumber(2);
  third = first;
  third.number = MembershipNumber(3);
  third.members[0].incarnation = 7;
  third.members[0].founder = false;  // as the disk itself says from then on
  Consensus x(first.members[0], Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600)}, 1), y = x;
  x.installMembership(first, true);
  x.giveUpVote(7);
  for (string const& record : x.snapshot()) y.replay(record);
  for (Consensus* const c : {&x, &y}) {
    // Neither a membership that still names its former stay nor one that takes it in again makes it vote.
    c->installMembership(second, true);
    CHECK_FALSE(c->holdsAllKeys());
    c->installMembership(third, false);
    CHECK_FALSE(c->holdsAllKeys());
    c->installCopies({});
    CHECK(c->holdsAllKeys());
  }
}
