#include "tallies/tally_replica.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr int unreachableTicks = 10, isolatedTicks = 80;
TimePoint const replicaTestStart(Ms(1000000));

Member member(std::uint64_t id, string const& zone) {
  Member result;
  result.id = NodeId(id);
  result.name = "n" + std::to_string(id);
  result.zone = zone;
  return result;
}

/// One replica among four members in two zones; the tests send the messages of the others.
struct ReplicaRig {
  TallyReplica replica{NodeId(1), TallyTiming{unreachableTicks, isolatedTicks, Ms(250), Ms(500), Ms(1000), Ms(8000)},
                       TallyDurability{3, 2}};
  TimePoint now = replicaTestStart;

  ReplicaRig() {
    replica.beginOrigin(OriginId(11));
    replica.setMembers({member(1, "a"), member(2, "a"), member(3, "b"), member(4, "b")});
    sync();
  }
  void sync() {
    replica.takeRecords();
    replica.noteSynced(replica.known());
  }
  void report(std::uint64_t peer, VersionVector const& synced) {
    TallyPushReply reply;
    reply.from = NodeId(peer);
    reply.synced = synced;
    replica.receive(reply, now);
  }
  void reportAll() {
    for (std::uint64_t peer = 2; peer <= 4; ++peer) report(peer, {});
  }
  AddPosition add(string const& id) {
    TallyTable::AddOutcome const outcome = replica.add(TallyAdd{"t", addKeyOf("t", id), 1, 100000});
    CHECK(outcome.position.has_value());
    return outcome.position.value_or(AddPosition());
  }
  void tick(int times) {
    for (int i = 0; i < times; ++i) replica.tick(100000);
  }
  /// The ids of the members that are sent a push now.
  std::set<std::uint64_t> pushed() {
    std::set<std::uint64_t> to;
    for (OutgoingPush const& push : replica.takePushes(now)) to.insert(push.to.id.value);
    return to;
  }
};
}  // namespace

TEST_GROUP(tallyReplica){};

TEST(tallyReplica, servesOnceAMajorityReported) {
  ReplicaRig rig;
  CHECK(!rig.replica.isServing());
  rig.report(2, {});
  CHECK(!rig.replica.isServing());
  rig.report(3, {});
  CHECK(rig.replica.isServing());
}
TEST(tallyReplica, doesNotServeWhileItLacksWhatAMajorityHas) {
  ReplicaRig rig;
  rig.report(2, {{OriginId(12), 1}});
  rig.report(3, {{OriginId(12), 1}});
  rig.report(4, {{OriginId(12), 1}});
  CHECK(!rig.replica.isServing());
  TallyPush push;
  push.from = NodeId(2);
  push.to = NodeId(1);
  push.batches.push_back({OriginId(12), 1, {TallyAdd{"t", addKeyOf("t", "x"), 1, 100000}}});
  rig.replica.receive(push);
  rig.sync();
  rig.report(2, {{OriginId(12), 1}});
  CHECK(rig.replica.isServing());
}
TEST(tallyReplica, servesInAMinorityPartitionAfterATimeout) {
  ReplicaRig rig;
  rig.report(2, {});
  rig.tick(isolatedTicks - 1);
  CHECK(!rig.replica.isServing());
  rig.tick(1);
  CHECK(rig.replica.isServing());
}
TEST(tallyReplica, anAdditionNeedsALocalSyncAndCopiesInTwoZones) {
  ReplicaRig rig;
  rig.reportAll();
  AddPosition const position = rig.add("a");
  VersionVector const has{{OriginId(11), 1}};
  rig.report(2, has);
  rig.report(3, has);
  CHECK(!rig.replica.isDurable(position));
  rig.sync();
  CHECK(rig.replica.isDurable(position));
}
TEST(tallyReplica, copiesInOneZoneAreNotEnough) {
  ReplicaRig rig;
  rig.replica.setMembers({member(1, "a"), member(2, "a"), member(5, "a"), member(3, "b")});
  rig.report(2, {});
  rig.report(5, {});
  rig.report(3, {});
  AddPosition const position = rig.add("a");
  rig.sync();
  VersionVector const has{{OriginId(11), 1}};
  rig.report(2, has);
  rig.report(5, has);
  CHECK(!rig.replica.isDurable(position));
  rig.report(3, has);
  CHECK(rig.replica.isDurable(position));
}
TEST(tallyReplica, unreachablePeersDelayAnAdditionOnlyForATimeout) {
  ReplicaRig rig;
  rig.reportAll();
  AddPosition const position = rig.add("a");
  rig.sync();
  CHECK(rig.pushed().size() == 3);
  rig.report(2, {{OriginId(11), 1}});
  rig.tick(unreachableTicks - 1);
  CHECK(!rig.replica.isDurable(position));
  rig.tick(1);
  CHECK(rig.replica.isDurable(position));
  CHECK(!rig.replica.hasAllCopies(position));
}
TEST(tallyReplica, aSingleCopySufficesOnlyAfterALongerTimeout) {
  ReplicaRig rig;
  rig.reportAll();
  AddPosition const position = rig.add("a");
  rig.sync();
  rig.pushed();
  rig.tick(isolatedTicks - 1);
  CHECK(!rig.replica.isDurable(position));
  rig.tick(1);
  CHECK(rig.replica.isDurable(position));
}
TEST(tallyReplica, aSuspendedProcessConsidersNoPeerUnreachable) {
  ReplicaRig rig;
  rig.reportAll();
  AddPosition const position = rig.add("a");
  rig.sync();
  rig.pushed();
  rig.now += Ms(60000);
  rig.tick(1);
  CHECK(!rig.replica.isDurable(position));
}
TEST(tallyReplica, aRestartedProcessDoesNotActAloneAtOnce) {
  ReplicaRig rig;
  AddPosition const position = rig.add("a");
  rig.sync();
  rig.tick(isolatedTicks - 1);
  CHECK(!rig.replica.isDurable(position));
  rig.tick(1);
  CHECK(rig.replica.isDurable(position));
}
TEST(tallyReplica, onePushAtATimeAndADelayAfterAFailure) {
  ReplicaRig rig;
  rig.reportAll();
  rig.add("a");
  rig.sync();
  CHECK(rig.pushed().size() == 3);
  rig.add("b");
  rig.sync();
  CHECK(rig.pushed().empty());
  rig.replica.noteFailure(NodeId(3), rig.now);
  CHECK(rig.pushed().empty());
  rig.now += Ms(250);
  CHECK(rig.pushed() == std::set<std::uint64_t>{3});
}
TEST(tallyReplica, aHeartbeatEndsTheRetryDelay) {
  ReplicaRig rig;
  rig.reportAll();
  rig.add("a");
  rig.sync();
  rig.pushed();
  rig.replica.noteFailure(NodeId(3), rig.now);
  rig.replica.noteHeartbeat(NodeId(3), 77, rig.now);
  CHECK(rig.pushed() == std::set<std::uint64_t>{3});
}
TEST(tallyReplica, nothingIsSentBeforeItIsSynced) {
  ReplicaRig rig;
  rig.reportAll();
  rig.add("a");
  CHECK(rig.pushed().empty());
  rig.sync();
  CHECK(!rig.pushed().empty());
}
TEST(tallyReplica, additionsOfOtherOriginsAreRelayedOnlyToAStagnantPeer) {
  ReplicaRig rig;
  rig.reportAll();
  TallyPush push;
  push.from = NodeId(2);
  push.to = NodeId(1);
  push.batches.push_back({OriginId(12), 1, {TallyAdd{"t", addKeyOf("t", "x"), 1, 100000}}});
  rig.replica.receive(push);
  rig.sync();
  rig.report(3, {});
  rig.now += Ms(499);
  CHECK(rig.pushed().empty());
  rig.now += Ms(1);
  CHECK(rig.pushed() == std::set<std::uint64_t>{3});
}
TEST(tallyReplica, additionsThatACallerAwaitsAreRelayedImmediately) {
  ReplicaRig rig;
  rig.reportAll();
  TallyPush push;
  push.from = NodeId(2);
  push.to = NodeId(1);
  push.batches.push_back({OriginId(12), 1, {TallyAdd{"t", addKeyOf("t", "x"), 1, 100000}}});
  rig.replica.receive(push);
  rig.sync();
  rig.replica.setAwaited({OriginId(12)});
  CHECK(rig.pushed().size() == 3);
}
TEST(tallyReplica, anEqualDigestCountsAsAReport) {
  ReplicaRig rig;
  AddPosition const position = rig.add("a");
  rig.sync();
  for (std::uint64_t peer = 2; peer <= 4; ++peer)
    rig.replica.noteHeartbeat(NodeId(peer), rig.replica.digest(), rig.now);
  CHECK(rig.replica.isDurable(position));
}
/// Soak seed 504: all nodes were killed and two lost their disks. The digests of processes that had synced nothing yet
/// were equal, so a node with an empty disk considered itself caught up and answered reads with 0.
TEST(tallyReplica, digestsAreIgnoredBeforeTheFirstSync) {
  TallyTiming const timing{unreachableTicks, isolatedTicks, Ms(250), Ms(500), Ms(1000), Ms(8000)};
  TallyReplica restarted(NodeId(2), timing, TallyDurability{3, 2}), wiped(NodeId(1), timing, TallyDurability{3, 2});
  vector<Member> const members{member(1, "a"), member(2, "a"), member(3, "b")};
  restarted.setMembers(members);
  wiped.setMembers(members);
  wiped.beginOrigin(OriginId(11));
  wiped.takeRecords();
  wiped.noteSynced(wiped.known());
  LONGS_EQUAL(0, restarted.digest());
  wiped.noteHeartbeat(NodeId(2), restarted.digest(), replicaTestStart);
  CHECK(!wiped.isServing());
}
TEST(tallyReplica, aPushForAnotherNodeIsRefused) {
  ReplicaRig rig;
  TallyPush push;
  push.to = NodeId(9);
  try {
    rig.replica.receive(push);
    FAIL("a push for another node was accepted");
  } catch (Error const& error) {
    CHECK(error.code() == ErrorCode::notMember);
  }
}
TEST(tallyReplica, aNewMemberGetsTheWholeStateInChunks) {
  ReplicaRig rig;
  rig.reportAll();
  constexpr int many = 20000;
  for (int i = 0; i < many; ++i) rig.add("id" + std::to_string(i));
  rig.sync();
  VersionVector const all{{OriginId(11), many}};
  for (std::uint64_t peer = 2; peer <= 4; ++peer) rig.report(peer, all);
  for (int i = 0; i < 20; ++i) rig.replica.tick(102000);
  LONGS_EQUAL(0, rig.replica.table().recentCount());

  TallyReplica newcomer(NodeId(5), TallyTiming{unreachableTicks, isolatedTicks, Ms(250), Ms(500), Ms(1000), Ms(8000)},
                        TallyDurability{3, 2});
  newcomer.beginOrigin(OriginId(15));
  vector<Member> const members{member(1, "a"), member(2, "a"), member(3, "b"), member(5, "b")};
  newcomer.setMembers(members);
  rig.replica.setMembers(members);
  int chunks = 0;
  for (int round = 0; round < 40; ++round) {
    rig.now += Ms(250);
    for (OutgoingPush const& push : rig.replica.takePushes(rig.now)) {
      if (push.to.id != NodeId(5)) continue;
      if (push.push.state.transfer) ++chunks;
      newcomer.receive(push.push);
      newcomer.noteSynced(newcomer.known());
      rig.replica.receive(newcomer.replyTo(push.push), rig.now);
    }
  }
  CHECK(chunks > 1);
  CHECK(newcomer.table().total("t") == many);
  CHECK(newcomer.add(TallyAdd{"t", addKeyOf("t", "id5"), 1, 100000}).result == TallyTable::AddResult::repeated);
}
