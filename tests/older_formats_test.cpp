// Bytes of older releases must be readable; fields that those releases didn't have get their defaults.
#include "tests/formats.hpp"

using namespace tealshelf;
using namespace tealshelf::formats;

TEST_GROUP(olderFormats){};

/// Bytes of releases before lots had a tenant.
TEST(olderFormats, lotsWithoutTenants) {
  LotRecord sealed = lot();
  sealed.sealedStamp = GenerationStamp(4);
  sealed.sealedResults = 2;
  expectReads("9fa36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0402",
              sealed);
  expectReads("9fa36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000",
              lot());
  LotRecord tenanted = lot();
  tenanted.tenant = "t";
  expectBytes(
      "dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000a174a000",
      tenanted);
}

/// Bytes of releases before lots told the prefix of their route.
TEST(olderFormats, lotsWithoutRoutePrefix) {
  LotRecord tenanted = lot();
  tenanted.tenant = "t";
  expectReads(
      "dc0010a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000a174",
      tenanted);
  LotRecord prefixed = lot();
  prefixed.routePrefix = "/p/";
  prefixed.configurationVersion = 7;
  expectBytes(
      "dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000a0a32f702f"
      "07",
      prefixed);
}

/// Bytes of releases before lots could be sealed and stores reported their load.
TEST(olderFormats, lotsOfOlderReleases) {
  expectReads("9da36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded", lot());
  expectReads(
      "949da36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1deda5"
      "6974656d7391a161c3",
      CreateReplica{lot(), "items", {"a"}, true});
  expectReads(
      "949da36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded64"
      "019109",
      OpenLot{lot(), 100, 1, {NodeId(9)}, 0});
  ReplicaVersion const replica{"h", "lot", GenerationStamp(5)};
  StoreHeartbeat heartbeat;
  heartbeat.self = store();
  heartbeat.lease = 3;
  heartbeat.process = 4;
  heartbeat.revision = 5;
  heartbeat.countsAsLoss = true;
  heartbeat.progress = {{"h", "lot", GenerationStamp(5), 10, 1, false}};
  heartbeat.replicas = {replica};
  heartbeat.failures = {{"h", "lot", GenerationStamp(5), NodeId(9)}};
  heartbeat.diskFailing = true;
  expectReads(
      "9a9409a27374a17a92a831302e302e302e39cd1ded030405c39195a168a36c6f74050a019193a168a36c6f74059194a1"
      "68a36c6f740509c2c3",
      heartbeat);
  StoreHeartbeatReply reply;
  reply.granted = true;
  reply.process = 4;
  reply.revision = 5;
  reply.lots = {lot()};
  reply.staleReplicas = {replica};
  reply.ownedKeyspaces = {"lots/h"};
  reply.members = {founder};
  reply.fencedUpTo = 2;
  expectReads(
      "99c3c20405919da36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e"
      "39cd1ded9193a168a36c6f740591a66c6f74732f68919701a26e31a831302e302e302e31a27a31c3c30002",
      reply);
}

/// Bytes of releases before workers reported their warm-up to the data plane.
TEST(olderFormats, workersThatDoNotWarmUp) {
  expectReads("9ea3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302", worker());
  expectReads("91a174", TakeCredit{"t", CreditKind::tenant});
  expectReads(
      "9a969701a26e31a831302e302e302e31a27a31c3c30002c39205cd02589192029206cd02bc9195a16b9203010605c393"
      "02929701a26e31a831302e302e302e31a27a31c3c3009702a26e32a831302e302e302e32a27a32c2c32c919701a26e31"
      "a831302e302e302e31a27a31c3c300919ea3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302c3"
      "0405c39197a16ea17aa46564676592a831302e302e302e31cd1deecd012c00009193a169010290",
      HeartbeatMessage{heartbeat(), membership(), {worker()}, true, 4, 5, true, {dataNode()}, {{"i", 1, 2}}, {}});
}

/// Bytes of releases before nodes confirmed rollouts.
TEST(olderFormats, nodesWithoutRollouts) {
  expectReads("95a16ea17aa46564676592a831302e302e302e31cd1deecd012c", dataNode());
  expectReads(
      "9c0295a16ea17aa46564676592a831302e302e302e31cd1deecd012c05c301020304c39195a16ea17aa46564676592a8"
      "31302e302e302e31cd1deecd012c9193a1690102c3",
      updateRequest());
}
TEST(olderFormats, heartbeatsWithoutRollouts) {
  expectReads(
      "99969701a26e31a831302e302e302e31a27a31c3c30002c39205cd02589192029206cd02bc9195a16b9203010605c393"
      "02929701a26e31a831302e302e302e31a27a31c3c3009702a26e32a831302e302e302e32a27a32c2c32c919701a26e31"
      "a831302e302e302e31a27a31c3c300919ea3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302c3"
      "0405c39195a16ea17aa46564676592a831302e302e302e31cd1deecd012c9193a1690102",
      HeartbeatMessage{heartbeat(), membership(), {worker()}, true, 4, 5, true, {dataNode()}, {{"i", 1, 2}}, {}});
}

/// Bytes of releases before heartbeats contained tallies.
TEST(olderFormats, heartbeatsWithoutTallies) {
  expectReads(
      "9a969701a26e31a831302e302e302e31a27a31c3c30002c39205cd02589192029206cd02bc9195a16b9203010605c393"
      "02929701a26e31a831302e302e302e31a27a31c3c3009702a26e32a831302e302e302e32a27a32c2c32c919701a26e31"
      "a831302e302e302e31a27a31c3c30091dc0010a3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302c200"
      "c30405c39197a16ea17aa46564676592a831302e302e302e31cd1deecd012c00009193a169010290",
      HeartbeatMessage{heartbeat(), membership(), {worker()}, true, 4, 5, true, {dataNode()}, {{"i", 1, 2}}, {}, 0});
}

/// Bytes of releases before calls told which additions to tallies they require and include.
TEST(olderFormats, callsWithoutAdditions) {
  expectReads("96a3505554a92f73657474696e6773a135a27b7d01cd02bc",
              ForwardedCall{"PUT", "/settings", "5", "{}", 1, 700, {}});
  expectReads("92ccc8a27b7d", CallReply{200, "{}", {}});
}

/// Bytes of releases before control nodes reported their wall clock and whether they reach the platform.
TEST(olderFormats, heartbeatsWithoutDuties) {
  expectReads(
      "9b969701a26e31a831302e302e302e31a27a31c3c30002c39205cd02589192029206cd02bc9195a16b9203010605c393"
      "02929701a26e31a831302e302e302e31a27a31c3c3009702a26e32a831302e302e302e32a27a32c2c32c919701a26e31"
      "a831302e302e302e31a27a31c3c30091dc0010a3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302c200"
      "c30405c39197a16ea17aa46564676592a831302e302e302e31cd1deecd012c00009193a16901029006",
      HeartbeatMessage{
          heartbeat(), membership(), {worker()}, true, 4, 5, true, {dataNode()}, {{"i", 1, 2}}, {}, 6, 0, -1});
}
