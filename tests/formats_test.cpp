// Byte formats of stored records and of messages between processes, which every release must read and write unchanged.
// The expected bytes were generated with commit ef6d31a.
#include "tests/formats.hpp"

using namespace tealshelf;
using namespace tealshelf::formats;

TEST_GROUP(formats){};

TEST(formats, messagesOfTheConsensus) {
  expectBytes("dc001000070b0ca16b92030b920000000000c2c2800000c2", message(VoteRequest{}));
  expectBytes("dc001001070b0ca16b92030b92020c000000c3c282a1619492030b05a176c2a1629492030b06a0c30000c2",
              message(VoteReply{true, {2, NodeId(12)}, entries}));
  expectBytes("dc001002070b0ca16b92030b920000000406c2c282a1619492030b05a176c2a1629492030b06a0c30300c2",
              message(AppendRequest{{4, 6, false, entries}, 3}));
  expectBytes("dc001002070b0ca16b92030b920000000006c2c382a1619492030b05a176c2a1629492030b06a0c30000c2",
              message(AppendRequest{{0, 6, true, entries}, 0}));
  expectBytes("dc001003070b0ca16b92030b92030b000006c3c2800000c2", message(AppendReply{true, {3, NodeId(11)}, 6}));
  expectBytes("dc001004070b0ca16b92030b920000090000c2c2800000c2", message(OwnershipCheck{9}));
  expectBytes("dc001005070b0ca16b92030b92040c090000c2c2800000c2",
              message(OwnershipCheckReply{false, {4, NodeId(12)}, 9}));
  expectBytes("dc001006070b0ca16b92030b920000020006c2c382a1619492030b05a176c2a1629492030b06a0c30615c3",
              message(TransferChunk{21, 2, {0, 6, true, entries}, 6, true}));
  expectBytes("dc001007070b0ca16b92030b92030b020006c3c2800015c2",
              message(TransferChunkReply{true, {3, NodeId(11)}, 21, 2, 6}));
}

TEST(formats, aMessageOfAnUnknownKindIsReadAndNothingElse) {
  string const unknown = "dc00104d070b0ca16b92030b920000000000c2c2800000c2";
  Message const read = deserialize<Message>(fromHex(unknown));
  CHECK(std::holds_alternative<UnknownMessage>(read.body));
}

TEST(formats, membershipsAndHeartbeats) {
  expectBytes(
      "9302929701a26e31a831302e302e302e31a27a31c3c3009702a26e32a831302e302e302e32a27a32c2c32c919701a26e"
      "31a831302e302e302e31a27a31c3c300",
      membership());
  expectBytes("969701a26e31a831302e302e302e31a27a31c3c30002c39205cd02589192029206cd02bc9196a16b9203010605c3c2",
              heartbeat());
  expectBytes("949701a26e31a831302e302e302e31a27a31c3c30001c302",
              MembershipChangeRequest{founder, 1, true, MembershipNumber(2)});
  expectBytes(
      "9d969701a26e31a831302e302e302e31a27a31c3c30002c39205cd02589192029206cd02bc9196a16b9203010605c3c293"
      "02929701a26e31a831302e302e302e31a27a31c3c3009702a26e32a831302e302e302e32a27a32c2c32c919701a26e31"
      "a831302e302e302e31a27a31c3c30091dc0010a3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302c200"
      "c30405c39197a16ea17aa46564676592a831302e302e302e31cd1deecd012c00009193a1690102900607fe",
      HeartbeatMessage{
          heartbeat(), membership(), {worker()}, true, 4, 5, true, {dataNode()}, {{"i", 1, 2}}, {}, 6, 7, -2});
  expectBytes(
      "929701a26e31a831302e302e302e31a27a31c3c3009194a16b92030182a1619492030b05a176c2a1629492030b06a0c3"
      "c2",
      CopyReply{founder, {KeyspaceCopy{"k", {3, NodeId(1)}, entries, false}}});
}

// Guards against keyspaces of a release before 0.2 that count as empty, and so aren't taken over.
TEST(formats, aHeartbeatThatDoesNotTellEmptinessIsRead) {
  string const older = "969701a26e31a831302e302e302e31a27a31c3c30002c39205cd02589192029206cd02bc9195a16b9203010605c3";
  Heartbeat const read = deserialize<Heartbeat>(fromHex(older));
  LONGS_EQUAL(1, read.keyspaces.size());
  CHECK(read.keyspaces[0].owned);
  CHECK(!read.keyspaces[0].empty);
}

TEST(formats, recordsOfTheControlLog) {
  Membership alone{MembershipNumber(1), {founder}, {founder}};
  Consensus consensus(founder, Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600), Ms(2000)}, 1);
  TimePoint const now = TimePoint() + std::chrono::hours(1);
  vector<string> written;
  auto const settle = [&] {
    for (bool any = true; any;) {
      Output const output = consensus.takeOutput();
      any = !output.messages.empty();
      written.insert(written.end(), output.records.begin(), output.records.end());
      for (Message const& m : output.messages) consensus.receive(m, now);
    }
  };
  consensus.addKeyspace("k");
  consensus.installMembership(alone, true);
  consensus.tick(now);
  settle();
  consensus.propose("k", {{"a", "v", false}, {"b", "", true}}, now);
  settle();
  vector<string> const expected{
      "9903a09200000000c280959301919701a26e31a831302e302e302e31a27a31c3c300919701a26e31a831302e302e302e"
      "31a27a31c3c300c3c20090920000",
      "9901a16b9201010000c2809593009090c2c20090920000",
      "9902a16b9201010001c3809593009090c2c20090920000",
      "9902a16b9201010103c282a1619492010102a176c2a1629492010103a0c39593009090c2c20090920000",
  };
  vector<string> const snapshot{
      "9903a09200000000c280959301919701a26e31a831302e302e302e31a27a31c3c300919701a26e31a831302e302e302e"
      "31a27a31c3c300c3c20090920000",
      "9904a16b9201010003c282a1619492010102a176c2a1629492010103a0c39593009090c2c20090920101",
  };
  expectRecords(expected, written);
  expectRecords(snapshot, consensus.snapshot());
  for (vector<string> const& log : {expected, snapshot}) {
    Consensus restarted(founder, Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600), Ms(2000)}, 2);
    for (string const& record : log) restarted.replay(fromHex(record));
    CHECK(restarted.holdsAllKeys() && restarted.isMember());
    expectRecords(snapshot, restarted.snapshot());
  }
}

TEST(formats, recordsOfTheSegmentLog) {
  LotKey const key{"h", "lot"};
  ReplicaTable table;
  table.create(lot(), "items", {});
  table.append(key, GenerationStamp(5), 0, {"a", "b"});
  table.settle(key, GenerationStamp(5), GenerationStamp(8), 1);
  vector<string> const expected{
      "9a01a168a36c6f740500dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e"
      "302e302e39cd1ded0000a0a000a56974656d7390c3c2",
      "9a02a168a36c6f740500dc0012a0a0a0a00000010000000000900000a0a000a092a161a162c3c2",
      "9a03a168a36c6f740801dc0012a0a0a0a00000010000000000900000a0a000a090c3c2",
  };
  vector<string> const snapshot{
      "9a01a168a36c6f740800dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400108919409a27374a17a92a831302e"
      "302e302e39cd1ded0000a0a000a56974656d7391a161c3c2"};
  expectRecords(expected, table.takeRecords());
  expectRecords(snapshot, table.snapshot());
  // The format before lots told the prefix of their route.
  vector<string> const unprefixed{
      "9a01a168a36c6f740500dc0010a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e"
      "302e302e39cd1ded0000a0a56974656d7390c3c2",
      "9a02a168a36c6f740500dc0010a0a0a0a00000010000000000900000a0a092a161a162c3c2",
      "9a03a168a36c6f740801dc0010a0a0a0a00000010000000000900000a0a090c3c2",
  };
  vector<string> const unprefixedSnapshot{
      "9a01a168a36c6f740800dc0010a36c6f74a168a172a173280203cd03e8cdea60cd1f400108919409a27374a17a92a831302e"
      "302e302e39cd1ded0000a0a56974656d7391a161c3c2"};
  // The format before lots had a tenant.
  vector<string> const untenanted{
      "9a01a168a36c6f7405009fa36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e"
      "302e302e39cd1ded0000a56974656d7390c3c2",
      "9a02a168a36c6f7405009fa0a0a0a00000010000000000900000a092a161a162c3c2",
      "9a03a168a36c6f7408019fa0a0a0a00000010000000000900000a090c3c2",
  };
  vector<string> const untenantedSnapshot{
      "9a01a168a36c6f7408009fa36c6f74a168a172a173280203cd03e8cdea60cd1f400108919409a27374a17a92a831302e"
      "302e302e39cd1ded0000a56974656d7391a161c3c2"};
  // The format before lots could be sealed.
  vector<string> const older{
      "9901a168a36c6f7405009da36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e"
      "302e302e39cd1deda56974656d7390c3",
      "9902a168a36c6f7405009da0a0a0a0000001000000000090a092a161a162c3",
      "9903a168a36c6f7408019da0a0a0a0000001000000000090a090c3",
  };
  vector<string> const olderSnapshot{
      "9901a168a36c6f7408009da36c6f74a168a172a173280203cd03e8cdea60cd1f400108919409a27374a17a92a831302e"
      "302e302e39cd1deda56974656d7391a161c3"};
  for (vector<string> const& log :
       {expected, snapshot, unprefixed, unprefixedSnapshot, untenanted, untenantedSnapshot, older, olderSnapshot}) {
    ReplicaTable restarted;
    for (string const& record : log) restarted.replay(fromHex(record));
    LONGS_EQUAL(1, restarted.find(key)->results.size());
    CHECK(restarted.find(key)->lot.stamp == GenerationStamp(8));
    CHECK_FALSE(restarted.find(key)->sealed);
  }
  table.remove(key, GenerationStamp(8));
  expectRecords({"9a04a168a36c6f740800dc0012a0a0a0a00000010000000000900000a0a000a090c3c2"}, table.takeRecords());
}

TEST(formats, lots) {
  LotRecord sealed = lot();
  sealed.sealedStamp = GenerationStamp(4);
  sealed.sealedResults = 2;
  expectBytes(
      "dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0402a0a000",
      sealed);
  expectBytes(
      "dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000a0a000",
      lot());
  expectBytes("95a169a22f70a1629192a54d6f64656ca16d0a", ItemRecord{"i", "/p", "b", {{"Model", "m"}}, 10});
  expectBytes("9301c3a174", ResultRecord{1, true, "t"});
  expectBytes("919195a168a36c6f74050191a161", AppendResults{{{"h", "lot", GenerationStamp(5), 1, {"a"}}}});
  expectBytes(
      "94dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000a0a000"
      "a56974656d7391a161c3",
      CreateReplica{lot(), "items", {"a"}, true});
  expectBytes(
      "95dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000a0a000"
      "64019109cd012c",
      OpenLot{lot(), 100, 1, {NodeId(9)}, 300});
  expectBytes(
      "94dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e39cd1ded0000a0a000"
      "92a831302e302e302e39cd1ded0402",
      CopyReplica{lot(), store().address, GenerationStamp(4), 2});
  expectBytes("94a168a36c6f7404c3", FetchReplica{"h", "lot", GenerationStamp(4), true});
  expectBytes("98a168a36c6f7404016407c302", ReadResults{"h", "lot", GenerationStamp(4), 1, 100, 7, true, 2});
  ReplicaVersion const replica{"h", "lot", GenerationStamp(5)};
  StoreHeartbeat heartbeat;
  heartbeat.self = store();
  heartbeat.lease = 3;
  heartbeat.process = 4;
  heartbeat.revision = 5;
  heartbeat.countsAsLoss = true;
  heartbeat.progress = {{"h", "lot", GenerationStamp(5), 10, 1, true}};
  heartbeat.replicas = {replica};
  heartbeat.failures = {{"h", "lot", GenerationStamp(5), NodeId(9)}};
  heartbeat.diskFailing = true;
  heartbeat.load = {7, 8, 9};
  expectBytes(
      "9b9409a27374a17a92a831302e302e302e39cd1ded030405c39196a168a36c6f74050a01c39193a168a36c6f74059194a1"
      "68a36c6f740509c2c393070809",
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
  expectBytes(
      "99c3c2040591dc0012a36c6f74a168a172a173280203cd03e8cdea60cd1f400105919409a27374a17a92a831302e302e302e"
      "39cd1ded0000a0a0009193a168a36c6f740591a66c6f74732f68919701a26e31a831302e302e302e31a27a31c3c30002",
      reply);
}

TEST(formats, workersConfigurationsAndUpdates) {
  expectBytes("dc0010a3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302c200", worker());
  Worker warming = worker();
  warming.warmingUp = true;
  warming.evacuationRevision = 5;
  expectBytes("dc0010a3692d31a173a17aa17692a831302e302e302e31500407c3c203c201c302c305", warming);
  expectBytes("93a17ac302", Evacuation{"z", true, 2});
  expectBytes("92a36c6d2d01", TakeCredit{"lm-", CreditKind::warmUp});
  expectBytes("9294000003a16494010306a165", (vector<AcceptedChange>{{0, 0, 3, Digest("d")}, {1, 3, 6, Digest("e")}}));
  expectBytes("97a3505554a92f73657474696e6773a135a27b7d01cd02bc80",
              ForwardedCall{"PUT", "/settings", "5", "{}", 1, 700, {}});
  expectBytes("97a3474554a22f74a0a001cd02bc810b03", ForwardedCall{"GET", "/t", "", "", 1, 700, {{OriginId(11), 3}}});
  expectBytes("93ccc8a27b7d810b03", CallReply{200, "{}", {{OriginId(11), 3}}});
  expectBytes(
      "9d0297a16ea17aa46564676592a831302e302e302e31cd1deecd012c000005c301020304c39197a16ea17aa465646765"
      "92a831302e302e302e31cd1deecd012c00009193a1690102c390",
      updateRequest());
  UpdateReply reply;
  reply.healthy = true;
  reply.configuration = "c";
  reply.common = "x";
  reply.commonDigest = 4;
  reply.members = {{"k", "v", false}};
  expectBytes("9d02c3c200000000a163a178a004009193a16ba176c2", reply);
  expectBytes("9191cd012c", CompareRegistry{{300}});
  RegistryDifference difference;
  difference.isComplete = true;
  difference.buckets = {7};
  expectBytes("93c3910790", difference);
}

TEST(formats, framesAndLogFiles) {
  expectBytes("940292a831302e302e302e31cd1dec05a17a", ConnectionHello{protocolVersion, {"10.0.0.1", 7660}, 5, "z"});
  STRCMP_EQUAL("54534c470100000002000000cc5d22fd", toHex(encodeFileHeader(LogFileKind::log)).c_str());
  STRCMP_EQUAL("5453425409000000995c7854010000009dff096c72", toHex(encodeBatch(encodeRecord("r"))).c_str());
  STRCMP_EQUAL("0100000007000000000000000300014d",
               toHex(wire::encodeFrame(7, RpcMethod::hello, wire::FrameKind::reply, "M")).c_str());
}

TEST(formats, tallies) {
  TallyAdd const add{"t", {1, 2}, -4, 1000};
  AddBatch const batch{OriginId(11), 3, {add}};
  expectBytes("94020091930b039194a174920102fccd03e890", TallyRecord{2, OriginId(), {batch}, {}});
  expectBytes("950102810b0291930b039194a174920102fccd03e894000000a0",
              TallyPush{NodeId(1), NodeId(2), {{OriginId(11), 2}}, {batch}, {}});
  expectBytes("9501810b03c30506", TallyPushReply{NodeId(1), {{OriginId(11), 3}}, true, 5, 6});
  TallyState const state{{batch}, {StoredTotal{"t", 0, 7}}, {RememberedKeys::Generation{2, {9}}}};
  expectBytes("94030090919391930b039194a174920102fccd03e89193a17400079192029109",
              TallyRecord{3, OriginId(), {}, {state}});
}

TEST(formats, dutiesAndUsage) {
  NodeUsage const usage{"n", 7, WindowNumber(9), {WindowUsage{WindowNumber(10), {TenantCount{"t", 3}}}}};
  expectBytes(
      "9303"
      "0ba16e",
      DutyRecord{3, NodeId(11), "n"});
  expectBytes("9109", UsageProgress{WindowNumber(9)});
  expectBytes(
      "9294a16e070991920a9192a17403"
      "9193a1730201",
      ReportUsage{usage, {ServiceLoad{"s", 2, 1}}});
  expectBytes(
      "93a163"
      "9194a16e070991920a9192a17403"
      "90",
      CollectUsage{"c", {usage}, {}});
  expectBytes("93050906", UsageReceipt{5, WindowNumber(9), 6});
}
