#include "tests/consensus/membership_runs.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using namespace tealshelf::sim;

TEST_GROUP(learner){};

TEST(learner, aLearnerIsNotPromotedBeforeItCopiedFromAMajority) {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    sim::Cluster cluster(700 + seed, 4, false, 3);
    foundThree(cluster);
    cutBoth(cluster, 3, 1);
    cutBoth(cluster, 3, 2);
    cluster.run(1500);
    LONGS_EQUAL_TEXT(3, cluster.members(), "a learner that reaches one disk is not promoted");
    std::uint64_t before = cluster.highestAcknowledged;
    cluster.kill(2);
    cluster.run(300);
    write(cluster, 30);
    CHECK_TEXT(cluster.highestAcknowledged > before, "one loss is tolerated while there is a learner");
    cluster.start(2);
    cluster.cuts.clear();
    cluster.run(1500);
    LONGS_EQUAL(4, cluster.members());
    LONGS_EQUAL(4, cluster.voters());
    STRCMP_EQUAL("", healAndCheck(cluster).c_str());
  }
}

TEST(learner, aLossIsToleratedWhileANewMemberHasNoVoteYet) {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    sim::Cluster cluster(800 + seed, 4, false, 3);
    foundThree(cluster);
    cluster.nodes()[3].frozen = true;
    cluster.run(400);
    write(cluster, 10);
    cluster.unfreeze(3);
    while (cluster.newest().members.size() < 4) {
      cluster.step();
      CHECK(cluster.voters() >= cluster.newest().quorum());
    }
    CHECK_FALSE_TEXT(cluster.nodes()[3].consensus->holdsAllKeys(),
                     "the copies made as a learner give the new member no vote");
    std::size_t const owner = cluster.ownerOf("members");
    std::size_t const other = owner == 0 ? 1 : 0;
    cluster.losePower(other);
    cluster.run(600);
    LONGS_EQUAL(3, cluster.voters());
    std::uint64_t const before = cluster.highestAcknowledged;
    write(cluster, 30);
    CHECK_TEXT(cluster.highestAcknowledged > before, "the new member copied from the remaining members and votes");
    STRCMP_EQUAL("", healAndCheck(cluster).c_str());
  }
}

TEST(learner, aWipedDiskIsReplacedWithoutAnyOtherLosingItsVote) {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    sim::Cluster cluster(900 + seed, 3, false, 3);
    foundThree(cluster);
    cluster.run(400);
    write(cluster, 20);
    cluster.wipe(2);
    cluster.start(2);
    for (int k = 0; k < 1500; ++k) {
      cluster.step();
      CHECK(cluster.voters() >= 2);
    }
    LONGS_EQUAL(3, cluster.voters());
    cluster.losePower(cluster.ownerOf("configuration"));
    cluster.run(400);
    std::uint64_t const before = cluster.highestAcknowledged;
    write(cluster, 30);
    CHECK_TEXT(cluster.highestAcknowledged > before, "the next loss is tolerated");
    STRCMP_EQUAL("", healAndCheck(cluster).c_str());
  }
}

TEST(learner, aShortAbsenceDoesNotRemoveAMember) {
  struct Case {
    int frozen;  ///< steps of 5 ms
    Ms deadAfter;
    bool stays;
  };
  // Last row: with half of inTouch as deadAfter, a short absence removes the member.
  for (Case const& c : {Case{680, Ms(3600), true}, Case{1200, Ms(3600), false}, Case{680, Ms(1500), false}}) {
    sim::Cluster cluster(950, 4, false, 3);
    foundThree(cluster);
    cluster.deadAfter = c.deadAfter;
    cluster.nodes()[3].frozen = true;
    cluster.run(400);
    std::size_t const away = (cluster.ownerOf("members") + 1) % 3;
    NodeId const id = cluster.nodes()[away].self.id;
    cluster.nodes()[away].frozen = true;
    cluster.run(100);
    cluster.unfreeze(3);
    for (int k = 100; k < c.frozen; ++k) {
      cluster.step();
      CHECK_TEXT(cluster.members() == 3, "no member is added while one is silent");
    }
    CHECK_EQUAL_TEXT(c.stays, cluster.newest().find(id) != nullptr, std::to_string(c.frozen).c_str());
    cluster.unfreeze(away);
    cluster.run(1500);
    LONGS_EQUAL_TEXT(4, cluster.voters(), "it votes again, under another incarnation if it was replaced");
    STRCMP_EQUAL("", healAndCheck(cluster).c_str());
  }
}

TEST(learner, faultToleranceIsLackingIfTheRestTolerateTooFewLosses) {
  struct Case {
    std::size_t disks;
    std::int64_t survive;
    bool lacksTolerance;
  };
  for (Case const& c : {Case{3, 1, true}, Case{4, 1, true}, Case{5, 1, false}, Case{7, 2, false}, Case{8, 2, false},
                        Case{6, 2, true}}) {
    sim::Cluster cluster(965, c.disks);
    cluster.run(400);
    cluster.kill(1);
    cluster.run(400);
    bool const lacksTolerance = MembershipPolicy::lacksFaultTolerance(
        *cluster.nodes()[0].consensus, cluster.nodes()[1].self.id, c.survive, cluster.now());
    CHECK_EQUAL_TEXT(c.lacksTolerance, lacksTolerance, std::to_string(c.disks).c_str());
  }
}

TEST(learner, aResumedOwnerConsidersNoMemberDead) {
  sim::Cluster cluster(960, 4, false, 3);
  foundThree(cluster);
  cluster.nodes()[3].frozen = true;
  cluster.run(400);
  std::size_t const owner = cluster.ownerOf("members");
  Consensus const& c = *cluster.nodes()[owner].consensus;
  cluster.nodes()[owner].frozen = true;
  cluster.run(1200);
  cluster.nodes()[owner].frozen = false;
  for (sim::Cluster::Node const& node : cluster.nodes()) CHECK(c.silentFor(node.self.id, cluster.now()) == Ms(0));
  cluster.run(20);
  for (sim::Cluster::Node const& node : cluster.nodes()) CHECK(c.silentFor(node.self.id, cluster.now()) < Ms(200));
}

TEST(learner, noChangeDuringAnotherNorByAnOwnerWithoutAWriteOfItsEpoch) {
  sim::Cluster cluster(970, 5, false, 3);
  foundThree(cluster);
  std::size_t refused = 0, open = 0, granted = 0;
  for (int k = 0; k < 1500; ++k) {
    cluster.step();
    for (sim::Cluster::Node const& node : cluster.nodes()) {
      Membership const& m = node.consensus->membership();
      MembershipChange const request{Member{NodeId(999), "new", "10.0.0.99", "z", false, true, 0}, false, m.number};
      MembershipChange late = request;
      late.copiedUnder = MembershipNumber(m.number.value - 1);
      bool const may = policyOf(cluster).next(*node.consensus, request, cluster.now()).has_value();
      bool const newMemberVotes = m.members.size() == 3 || m.formerMembers.size() == m.members.size() ||
                                  node.consensus->isReady(m.members.back().id, cluster.now());
      CHECK_FALSE(policyOf(cluster).next(*node.consensus, late, cluster.now()).has_value());
      granted += may;
      if (!node.consensus->owns("members")) {
        ++refused;
        CHECK_FALSE(may);
      }
      if (node.consensus->owns("members") && !newMemberVotes &&
          node.consensus->isAlive(m.members.back().id, cluster.now())) {
        ++open;
        CHECK_FALSE(may);
      }
    }
  }
  LONGS_EQUAL(5, cluster.members());
  CHECK(refused > 0);
  CHECK(open > 0);
  CHECK(granted > 0);
}

TEST(learner, aCorruptDiskVotesOnlyAfterCopyingFromAMajority) {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    sim::Cluster cluster(980 + seed, 3, false, 3);
    foundThree(cluster);
    cluster.run(400);
    write(cluster, 20);
    std::size_t const bad = cluster.dice(3), other = (bad + 1) % 3;
    cluster.losePower(other);
    cluster.corruptDisk(bad);
    cluster.run(400);
    CHECK_FALSE_TEXT(cluster.nodes()[bad].consensus->holdsAllKeys(), "one node is no majority to copy from");
    std::uint64_t const before = cluster.highestAcknowledged;
    write(cluster, 10);
    LONGS_EQUAL(before, cluster.highestAcknowledged);
    cluster.kill(bad);
    cluster.start(bad);
    CHECK_FALSE_TEXT(cluster.nodes()[bad].consensus->holdsAllKeys(), "the loss of the vote is durable");
    cluster.start(other);
    cluster.run(1500);
    LONGS_EQUAL(3, cluster.voters());
    cluster.losePower(other);
    cluster.run(400);
    write(cluster, 30);
    CHECK(cluster.highestAcknowledged > before);
    STRCMP_EQUAL("", healAndCheck(cluster).c_str());
  }
}
