#include "tests/consensus/membership_runs.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using namespace tealshelf::sim;

namespace {
/// Joins, wipes of up to two disks at once, partitions, freezes and power losses.
string simulateMembership(std::uint64_t seed, bool keepIdentity, std::uint64_t& changes, bool corruptVotes = false) {
  sim::Cluster cluster(seed, 8, false, 3);
  cluster.joins = true;
  cluster.survive = 2;
  cluster.keepIdentity = keepIdentity;
  for (std::size_t i = 0; i < 3; ++i) cluster.installFirstMembership(i);
  waitUntilAllAreMembers(cluster);
  cluster.check();
  if (cluster.members() != 8)
    return "only " + std::to_string(cluster.members()) + " members after the start, expected 8";
  for (int k = 0; k < 6000 && cluster.violation.empty(); ++k) {
    cluster.step();
    if (cluster.dice(3) == 0) cluster.write();
    if (cluster.dice(5) == 0) cluster.read();
    cluster.check();
    // Only rare sequences of faults reveal a kept identity, so faults are more frequent then.
    if (cluster.dice(keepIdentity ? 20 : 70)) continue;
    std::size_t const i = cluster.dice(8);
    sim::Cluster::Node& node = cluster.nodes()[i];
    switch (cluster.dice(12)) {
      case 0:
        if (node.up) cluster.losePower(i);
        break;
      case 1:
        if (node.up) cluster.kill(i);
        break;
      case 2:
      case 3:
      case 4:
        if (!node.up) cluster.start(i);
        break;
      case 5:
        if (node.up) node.frozen = true;
        break;
      case 6:
        if (node.frozen) cluster.unfreeze(i);
        break;
      case 7:
        cluster.cuts.insert({i, cluster.dice(8)});
        break;
      case 8:
        cluster.cuts.clear();
        cluster.loss = cluster.dice(3) * 0.05;
        break;
      case 9:
      case 10:
        if (countIncompleteDisks(cluster.nodes()) < 2) {
          cluster.wipe(keepIdentity ? cluster.dice(3) : i);
          ++changes;
          if (cluster.dice(3) == 0)
            for (std::size_t j = 0; j < 8; ++j)
              if (j != i && cluster.nodes()[j].up) cluster.losePower(j);
        }
        break;
      case 11:
        if (countIncompleteDisks(cluster.nodes()) < 2) cluster.corruptDisk(i, corruptVotes);
        break;
      default:
        break;
    }
  }
  return healAndCheck(cluster);
}
}  // namespace

TEST_GROUP(membership){};

TEST(membership, allGuaranteesHoldUnderWipesJoinsAndPartitions) {
  std::uint64_t wipes = 0;
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    string const violation = simulateMembership(seed, false, wipes);
    if (!violation.empty()) FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
  CHECK(wipes > 10);
}

TEST(membership, aCorruptDiskThatVotesIsDetected) {
  bool detected = false;
  std::uint64_t wipes = 0;
  for (std::uint64_t seed = 1; seed <= 300 && !detected; ++seed)
    detected = !simulateMembership(seed, false, wipes, true).empty();
  CHECK_TEXT(detected, "the injected fault was never detected");
}

TEST(membership, aWipedDiskThatVotesIsDetected) {
  bool detected = false;
  std::uint64_t wipes = 0;
  for (std::uint64_t seed = 1; seed <= 300 && !detected; ++seed)
    detected = !simulateMembership(seed, true, wipes).empty();
  CHECK_TEXT(detected, "the injected fault was never detected");
}

TEST(membership, twoWipedDisksAndAPowerLossOfTheRestLoseNoWrite) {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    sim::Cluster cluster(500 + seed, 8, false, 3);
    cluster.joins = true;
    cluster.survive = 2;
    for (std::size_t i = 0; i < 3; ++i) cluster.installFirstMembership(i);
    waitUntilAllAreMembers(cluster);
    LONGS_EQUAL(8, cluster.members());
    write(cluster, 60);
    CHECK(cluster.highestAcknowledged > 10);
    std::size_t owner = 0;
    for (std::size_t i = 0; i < 8; ++i)
      if (cluster.nodes()[i].consensus->owns("configuration")) owner = i;
    std::size_t const other = (owner + 1 + cluster.dice(7)) % 8;
    for (std::size_t i = 0; i < 8; ++i)
      if (cluster.nodes()[i].up) cluster.losePower(i);
    cluster.wipe(owner);
    cluster.wipe(other);
    string const violation = healAndCheck(cluster);
    if (!violation.empty()) FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    std::size_t in = 0;
    for (sim::Cluster::Node const& node : cluster.nodes())
      in += node.consensus->holdsAllKeys() && node.consensus->membership().find(node.self.id);
    LONGS_EQUAL_TEXT(8, in, "both new disks are members that hold all keys");
    std::uint64_t const before = cluster.highestAcknowledged;
    write(cluster, 30);
    CHECK(cluster.highestAcknowledged > before);
  }
}

TEST(membership, partitionedHalvesNeverBothCommit) {
  sim::Cluster cluster(31, 8, false, 3);
  cluster.joins = true;
  cluster.survive = 2;
  for (std::size_t i = 0; i < 3; ++i) cluster.installFirstMembership(i);
  cluster.run(1500);
  write(cluster, 20);
  for (std::size_t a = 0; a < 4; ++a)
    for (std::size_t b = 4; b < 8; ++b) {
      cluster.cuts.insert({a, b});
      cluster.cuts.insert({b, a});
    }
  cluster.run(400);
  std::uint64_t const before = cluster.highestAcknowledged;
  write(cluster, 60);
  LONGS_EQUAL_TEXT(before, cluster.highestAcknowledged, "half of the membership is no majority");
  STRCMP_EQUAL("", healAndCheck(cluster).c_str());
  write(cluster, 20);
  CHECK(cluster.highestAcknowledged > before);
}

TEST(membership, aDisklessNodeNeverVotesAlongsideDisks) {
  sim::Cluster cluster(41, 6, false, 3);
  cluster.joins = true;
  cluster.survive = 1;
  for (std::size_t i = 3; i < 6; ++i) cluster.makeDiskless(i);
  for (std::size_t i = 0; i < 3; ++i) cluster.installFirstMembership(i);
  cluster.run(1500);
  LONGS_EQUAL(3, cluster.members());
  write(cluster, 30);
  for (std::size_t i = 3; i < 6; ++i) {
    CHECK_FALSE(cluster.nodes()[i].consensus->holdsAllKeys());
    CHECK_FALSE(cluster.nodes()[i].consensus->owns("configuration"));
    CHECK_TEXT(cluster.nodes()[i].consensus->inContactWithMajority(cluster.now()),
               "it has contact with the membership and can forward calls");
  }
  for (std::size_t i = 3; i < 6; ++i) {
    cluster.kill(i);
    cluster.start(i);
  }
  cluster.run(400);
  LONGS_EQUAL(3, cluster.members());
  STRCMP_EQUAL("", healAndCheck(cluster).c_str());
}

TEST(membership, aNodeWithADiskReplacesADisklessFounder) {
  sim::Cluster cluster(43, 4, false, 3);
  cluster.joins = true;
  cluster.survive = 1;
  cluster.makeDiskless(2);
  for (std::size_t i = 0; i < 3; ++i) cluster.installFirstMembership(i);
  cluster.run(1500);
  LONGS_EQUAL(3, cluster.members());
  CHECK(cluster.nodes()[3].consensus->holdsAllKeys());
  CHECK_FALSE(cluster.nodes()[0].consensus->membership().find(cluster.nodes()[2].self.id) != nullptr);
  CHECK(MembershipPolicy::survives(cluster.nodes()[0].consensus->membership(), 1));
  CHECK_FALSE(MembershipPolicy::survives(cluster.nodes()[0].consensus->membership(), 2));
}

TEST(membership, anInterruptedBootstrapCreatesOneMembership) {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    sim::Cluster cluster(600 + seed, 5, false, 3);
    cluster.joins = true;
    cluster.survive = 2;
    // One founder installs the membership while others are killed; they learn of it later.
    std::size_t const a = cluster.dice(3);
    cluster.installFirstMembership(a);
    cluster.run(cluster.dice(4));
    for (std::size_t i = 0; i < 3; ++i)
      if (i != a || cluster.dice(2)) cluster.kill(i);
    cluster.run(50);
    for (std::size_t i = 0; i < 3; ++i)
      if (!cluster.nodes()[i].up) cluster.start(i);
    cluster.run(100);
    for (std::size_t i = 0; i < 3; ++i)
      if (!cluster.nodes()[i].consensus->membership().number.value) cluster.installFirstMembership(i);
    cluster.run(1500);
    LONGS_EQUAL(5, cluster.members());
    write(cluster, 30);
    CHECK(cluster.highestAcknowledged > 5);
    string const violation = healAndCheck(cluster);
    if (!violation.empty()) FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
}
