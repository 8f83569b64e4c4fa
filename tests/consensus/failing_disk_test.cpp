#include "tests/consensus/consensus_sim.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {

/// The node that owns the configuration; the number of nodes if none does.
std::size_t owner(sim::Cluster& cluster) {
  for (std::size_t i = 0; i < cluster.nodes().size(); ++i)
    if (cluster.nodes()[i].consensus->owns("configuration")) return i;
  return cluster.nodes().size();
}
/// Writes acknowledged while the owner's disk fails and after it has recovered.
struct DiskFailureResult {
  std::uint64_t during = 0, after = 0;
  std::size_t nextOwner = 0, lastOwner = 0, first = 0;
  string violation;
};
DiskFailureResult simulateWithFailingDisk(std::uint64_t seed, bool ineligible, std::size_t nodes) {
  sim::Cluster cluster(seed, nodes);
  cluster.run(400);
  DiskFailureResult result;
  result.first = owner(cluster);
  sim::Cluster::Node& node = cluster.nodes()[result.first];
  auto const load = [&cluster](std::size_t steps) {
    std::uint64_t const before = cluster.writes;
    for (std::size_t k = 0; k < steps; ++k) {
      cluster.step();
      if (k % 7 == 0) cluster.write();
      if (k % 11 == 0) cluster.read();
      cluster.check();
    }
    return cluster.writes - before;
  };
  node.diskFails = true;
  node.consensus->setIneligibleAsOwner(ineligible);
  load(400);
  result.during = load(400);
  result.nextOwner = owner(cluster);
  // The process may lose power before its disk recovers; it then restarts from the synced records.
  if (cluster.dice(2)) {
    cluster.losePower(result.first);
    cluster.run(200);
    cluster.start(result.first);
  }
  node.diskFails = false;
  node.consensus->setIneligibleAsOwner(false);
  load(400);
  result.after = load(400);
  result.lastOwner = owner(cluster);
  result.violation = cluster.violation;
  return result;
}

/// Random disk failures and power losses. Returns the first violation, or nothing.
string simulateRandomDiskFailures(std::uint64_t seed, bool sendsUnsynced) {
  sim::Cluster cluster(seed, 3);
  cluster.sendsUnsynced = sendsUnsynced;
  cluster.run(400);
  for (std::size_t k = 0; k < 6000; ++k) {
    cluster.step();
    if (k % 5 == 0) cluster.write();
    if (k % 11 == 0) cluster.read();
    cluster.check();
    if (k % 60 != 0) continue;
    std::size_t const i = cluster.dice(3);
    sim::Cluster::Node& node = cluster.nodes()[i];
    std::size_t up = 0;
    for (sim::Cluster::Node const& n : cluster.nodes()) up += n.up;
    if (!node.up)
      cluster.start(i);
    else if (up == 3 && cluster.dice(2))
      cluster.losePower(i);
    else
      node.diskFails = !node.diskFails;
    if (node.up) node.consensus->setIneligibleAsOwner(node.diskFails);
  }
  return cluster.violation;
}

/// Writes are acknowledged by the owner and a second node. The second one restarts without its newest records, while
/// the owner goes down and the third node returns.
string simulateLostRecords(std::uint64_t seed, bool keepsVoting) {
  sim::Cluster cluster(seed, 3);
  cluster.keepsVoting = keepsVoting;
  cluster.joins = true;
  cluster.run(400);
  auto const load = [&cluster](std::size_t steps) {
    std::uint64_t const before = cluster.writes;
    for (std::size_t k = 0; k < steps; ++k) {
      cluster.step();
      if (k % 5 == 0) cluster.write();
      if (k % 11 == 0) cluster.read();
      cluster.check();
    }
    return cluster.writes - before;
  };
  std::size_t const first = owner(cluster), away = (first + 1) % 3, damaged = (first + 2) % 3;
  cluster.losePower(away);
  load(100);
  cluster.losePower(damaged);
  cluster.startWithLostRecords(damaged);
  cluster.start(away);
  cluster.losePower(first);
  load(600);
  cluster.start(first);
  load(800);
  if (cluster.violation.empty() && load(400) == 0) return "writes stopped";
  if (cluster.violation.empty() && !cluster.nodes()[damaged].consensus->holdsAllKeys())
    return "the node with lost records did not become a voter again";
  return cluster.violation;
}
}  // namespace

TEST_GROUP(failingDisk){};

TEST(failingDisk, aNodeWithAFailingDiskGivesUpItsKeyspacesUntilItRecovers) {
  std::size_t stuck = 0;
  for (std::size_t const nodes : {3u, 4u, 5u})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      DiskFailureResult const result = simulateWithFailingDisk(seed, true, nodes);
      STRCMP_EQUAL("", result.violation.c_str());
      CHECK(result.during > 0);
      CHECK(result.nextOwner != result.first);
      CHECK(result.after > 0);
      LONGS_EQUAL(result.first, result.lastOwner);
      DiskFailureResult const kept = simulateWithFailingDisk(seed, false, nodes);
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
  Consensus x(first.members[0], Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600), Ms(2000)}, 1), y = x;
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
