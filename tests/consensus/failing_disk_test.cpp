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
/// Writes acknowledged while the owner's disk fails and after it has recovered.
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
  // The process may lose power before its disk recovers; it then restarts from the synced records.
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

/// Random disk failures and power losses. Returns the first violation, or nothing.
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

/// Writes are acknowledged by the owner and a second node. The second one restarts without its newest records, while
/// the owner goes down and the third node returns.
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
  if (c.violation.empty() && !c.nodes()[damaged].consensus->holdsAllKeys())
    return "the node with lost records did not become a voter again";
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
  CHECK_TEXT(stuck > 0, "an owner that keeps its keyspaces with a failing disk was never detected");
}

TEST(failingDisk, aNodeWithAFailingDiskSendsNothingUnsynced) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) STRCMP_EQUAL("", simulateRandomDiskFailures(seed, false).c_str());
  bool detected = false;
  for (std::uint64_t seed = 1; seed <= 2000 && !detected; ++seed)
    detected = !simulateRandomDiskFailures(seed, true).empty();
  CHECK_TEXT(detected, "votes and acknowledgements without a sync were never detected");
}

TEST(failingDisk, aDiskWithLostRecordsVotesOnlyAfterCopyingFromAMajority) {
  std::size_t detected = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    STRCMP_EQUAL("", simulateLostRecords(seed, false).c_str());
    detected += !simulateLostRecords(seed, true).empty();
  }
  CHECK_TEXT(detected > 0, "a node that votes with lost records was never detected");
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
  third.members[0].founder = false;  // as the node reports itself after giving up its vote
  Consensus x(first.members[0], Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600)}, 1), y = x;
  x.installMembership(first, true);
  x.giveUpVote(7);
  for (string const& record : x.snapshot()) y.replay(record);
  for (Consensus* const c : {&x, &y}) {
    // Neither a membership with its former incarnation nor one with its new incarnation makes it vote.
    c->installMembership(second, true);
    CHECK_FALSE(c->holdsAllKeys());
    c->installMembership(third, false);
    CHECK_FALSE(c->holdsAllKeys());
    c->installCopies({});
    CHECK(c->holdsAllKeys());
  }
}
