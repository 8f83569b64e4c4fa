#include "tests/membership_runs.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using namespace tealshelf::sim;

TEST_GROUP(learner){};

TEST(learner, aLearnerIsNoMemberUntilItCopiedFromAMajority) {
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    sim::Cluster g(700 + s, 4, false, 3);
    foundThree(g);
    cutBoth(g, 3, 1);
    cutBoth(g, 3, 2);
    g.run(1500);
    LONGS_EQUAL_TEXT(3, g.members(), "a learner that reaches one disk is not promoted");
    std::uint64_t before = g.acked;
    g.kill(2);
    g.run(300);
    write(g, 30);
    CHECK_TEXT(g.acked > before, "one loss is borne beside a learner");
    g.start(2);
    g.cuts.clear();
    g.run(1500);
    LONGS_EQUAL(4, g.members());
    LONGS_EQUAL(4, g.voters());
    STRCMP_EQUAL("", healed(g).c_str());
  }
}

TEST(learner, aLossWhileANewcomerHasNoVoteYetIsBorne) {
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    sim::Cluster g(800 + s, 4, false, 3);
    foundThree(g);
    g.nodes()[3].frozen = true;
    g.run(400);
    write(g, 10);
    g.thaw(3);
    while (g.newest().members.size() < 4) {
      g.step();
      CHECK(g.voters() >= g.newest().quorum());
    }
    CHECK_FALSE_TEXT(g.nodes()[3].consensus->holdsAllKeys(), "the newcomer has no vote by what it copied as a learner");
    std::size_t const owner = g.ownerOf("members");
    std::size_t const other = owner == 0 ? 1 : 0;
    g.power(other);
    g.run(600);
    LONGS_EQUAL(3, g.voters());
    std::uint64_t const before = g.acked;
    write(g, 30);
    CHECK_TEXT(g.acked > before, "the newcomer copied from those who are left, and votes");
    STRCMP_EQUAL("", healed(g).c_str());
  }
}

TEST(learner, aWipedDiskIsReplacedWithoutAnyOtherLosingItsVote) {
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    sim::Cluster g(900 + s, 3, false, 3);
    foundThree(g);
    g.run(400);
    write(g, 20);
    g.wipe(2);
    g.start(2);
    for (int k = 0; k < 1500; ++k) {
      g.step();
      CHECK(g.voters() >= 2);
    }
    LONGS_EQUAL(3, g.voters());
    g.power(g.ownerOf("configuration"));
    g.run(400);
    std::uint64_t const before = g.acked;
    write(g, 30);
    CHECK_TEXT(g.acked > before, "the next loss is borne");
    STRCMP_EQUAL("", healed(g).c_str());
  }
}

TEST(learner, aShortAbsenceCostsNoVote) {
  struct Case {
    int frozen;  ///< steps of 5 ms
    Ms deadAfter;
    bool stays;
  };
  // The last row is the bound as it was: half of inTouch.
  for (Case const& c : {Case{680, Ms(3600), true}, Case{1200, Ms(3600), false}, Case{680, Ms(1500), false}}) {
    sim::Cluster g(950, 4, false, 3);
    foundThree(g);
    g.deadAfter = c.deadAfter;
    g.nodes()[3].frozen = true;
    g.run(400);
    std::size_t const away = (g.ownerOf("members") + 1) % 3;
    NodeId const id = g.nodes()[away].self.id;
    g.nodes()[away].frozen = true;
    g.run(100);
    g.thaw(3);
    for (int k = 100; k < c.frozen; ++k) {
      g.step();
      CHECK_TEXT(g.members() == 3, "while one is silent nobody is added");
    }
    CHECK_EQUAL_TEXT(c.stays, g.newest().find(id) != nullptr, std::to_string(c.frozen).c_str());
    g.thaw(away);
    g.run(1500);
    LONGS_EQUAL_TEXT(4, g.voters(), "it votes again, under another stay if it was replaced");
    STRCMP_EQUAL("", healed(g).c_str());
  }
}

TEST(learner, aMembershipIsTightIfTheRestBearsTooFewLosses) {
  struct Case {
    std::size_t disks;
    std::int64_t survive;
    bool tight;
  };
  for (Case const& c : {Case{3, 1, true}, Case{4, 1, true}, Case{5, 1, false}, Case{7, 2, false}, Case{8, 2, false},
                        Case{6, 2, true}}) {
    sim::Cluster g(965, c.disks);
    g.run(400);
    g.kill(1);
    g.run(400);
    bool const tight = MembershipPolicy::isTight(*g.nodes()[0].consensus, g.nodes()[1].self.id, c.survive, g.now());
    CHECK_EQUAL_TEXT(c.tight, tight, std::to_string(c.disks).c_str());
  }
}

TEST(learner, anOwnerThatSleptHoldsNobodyForDead) {
  sim::Cluster g(960, 4, false, 3);
  foundThree(g);
  g.nodes()[3].frozen = true;
  g.run(400);
  std::size_t const owner = g.ownerOf("members");
  Consensus const& c = *g.nodes()[owner].consensus;
  g.nodes()[owner].frozen = true;
  g.run(1200);
  g.nodes()[owner].frozen = false;
  for (sim::Cluster::Node const& x : g.nodes()) CHECK(c.silentFor(x.self.id, g.now()) == Ms(0));
  g.run(20);
  for (sim::Cluster::Node const& x : g.nodes()) CHECK(c.silentFor(x.self.id, g.now()) < Ms(200));
}

TEST(learner, noChangeWhileOneIsOpenNorByAnOwnerWithoutAWriteOfItsEpoch) {
  sim::Cluster g(970, 5, false, 3);
  foundThree(g);
  std::size_t refused = 0, open = 0, granted = 0;
  for (int k = 0; k < 1500; ++k) {
    g.step();
    for (sim::Cluster::Node const& x : g.nodes()) {
      Membership const& m = x.consensus->membership();
      MembershipChange const wish{Member{NodeId(999), "new", "10.0.0.99", "z", false, true, 0}, false, m.number};
      MembershipChange late = wish;
      late.copiedUnder = MembershipNumber(m.number.value - 1);
      bool const may = policyOf(g).next(*x.consensus, wish, g.now()).has_value();
      bool const newcomerVotes = m.members.size() == 3 || m.formerMembers.size() == m.members.size() ||
                                 x.consensus->isReady(m.members.back().id, g.now());
      CHECK_FALSE(policyOf(g).next(*x.consensus, late, g.now()).has_value());
      granted += may;
      if (!x.consensus->owns("members")) {
        ++refused;
        CHECK_FALSE(may);
      }
      if (x.consensus->owns("members") && !newcomerVotes && x.consensus->isAlive(m.members.back().id, g.now())) {
        ++open;
        CHECK_FALSE(may);
      }
    }
  }
  LONGS_EQUAL(5, g.members());
  CHECK(refused > 0);
  CHECK(open > 0);
  CHECK(granted > 0);
}

TEST(learner, aCorruptDiskVotesOnlyAfterItWasHealedFromAMajority) {
  for (std::uint64_t s = 1; s <= seeds(); ++s) {
    sim::Cluster g(980 + s, 3, false, 3);
    foundThree(g);
    g.run(400);
    write(g, 20);
    std::size_t const bad = g.dice(3), other = (bad + 1) % 3;
    g.power(other);
    g.corrupt(bad);
    g.run(400);
    CHECK_FALSE_TEXT(g.nodes()[bad].consensus->holdsAllKeys(), "one disk is no majority to heal from");
    std::uint64_t const before = g.acked;
    write(g, 10);
    LONGS_EQUAL(before, g.acked);
    g.kill(bad);
    g.start(bad);
    CHECK_FALSE_TEXT(g.nodes()[bad].consensus->holdsAllKeys(), "the loss of the vote is durable");
    g.start(other);
    g.run(1500);
    LONGS_EQUAL(3, g.voters());
    g.power(other);
    g.run(400);
    write(g, 30);
    CHECK(g.acked > before);
    STRCMP_EQUAL("", healed(g).c_str());
  }
}
