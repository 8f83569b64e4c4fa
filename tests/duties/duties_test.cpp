// The parts of the duties that do no I/O: lease, platform contact, clock, usage table and usage ledger.
#include "duties/cluster_clock.hpp"
#include "duties/duty_lease.hpp"
#include "duties/duty_preference.hpp"
#include "duties/platform_contact.hpp"
#include "duties/service_load_table.hpp"
#include "duties/usage_ledger.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr TimePoint dutyStart = TimePoint() + std::chrono::hours(1);
constexpr Ms leaseLength{3000};
Epoch const firstEpoch{1, NodeId(1)}, secondEpoch{2, NodeId(1)};
UsageTable::ProcessKey const firstEdge{"edge-1", 7}, secondEdge{"edge-2", 8};

NodeUsage usageOf(UsageTable::ProcessKey const& key, std::int64_t window, std::uint64_t requests,
                  std::int64_t finalThrough) {
  return NodeUsage{key.node,
                   key.incarnation,
                   WindowNumber(finalThrough),
                   {WindowUsage{WindowNumber(window), {TenantCount{"huka", requests}}}}};
}
}  // namespace

TEST_GROUP(dutyLease){};

TEST(dutyLease, theFirstHolderMayActOnceAMajorityConfirmsIt) {
  DutyLease lease(leaseLength);
  lease.noteClaimed(firstEpoch, 1, false, dutyStart);
  CHECK(!lease.mayAct(dutyStart));
  lease.noteConfirmed(firstEpoch, dutyStart);
  CHECK(lease.mayAct(dutyStart + Ms(2249)));
  CHECK(!lease.mayAct(dutyStart + Ms(2250)));
}
TEST(dutyLease, aSuccessorWaitsForAWholeLease) {
  DutyLease lease(leaseLength);
  lease.noteClaimed(firstEpoch, 2, true, dutyStart);
  for (int ms = 0; ms <= 3000; ms += 300) lease.noteConfirmed(firstEpoch, dutyStart + Ms(ms));
  CHECK(!lease.mayAct(dutyStart + Ms(2999)));
  CHECK(lease.mayAct(dutyStart + Ms(3000)));
}
TEST(dutyLease, aConfirmationOfAnotherEpochExtendsNothing) {
  DutyLease lease(leaseLength);
  lease.noteClaimed(secondEpoch, 2, false, dutyStart);
  lease.noteConfirmed(firstEpoch, dutyStart);
  CHECK(!lease.mayAct(dutyStart));
  lease.noteConfirmed(secondEpoch, dutyStart);
  lease.drop();
  CHECK(!lease.mayAct(dutyStart));
}

namespace {
/// Three control nodes; the first one decides which to deprioritize.
vector<Member> const threeNodes{Member{NodeId(1), "a", "10.0.0.1", "z"}, Member{NodeId(2), "b", "10.0.0.2", "z"},
                                Member{NodeId(3), "c", "10.0.0.3", "z"}};
using Incumbent = DutyPreference::Incumbent;

std::set<NodeId> nodes(std::initializer_list<std::uint64_t> ids) {
  std::set<NodeId> found;
  for (std::uint64_t const id : ids) found.insert(NodeId(id));
  return found;
}
}  // namespace

TEST_GROUP(dutyPreference) {
  DutyPreference preference{NodeId(1), leaseLength};
};

TEST(dutyPreference, aLiveIncumbentIsPreferred) {
  CHECK(nodes({1, 3}) == preference.deprioritizedOwners({}, Incumbent{NodeId(2), true}, threeNodes, dutyStart));
}
TEST(dutyPreference, aDeadOrUnreachableIncumbentIsNotPreferred) {
  CHECK(nodes({}) == preference.deprioritizedOwners({}, Incumbent{NodeId(2), false}, threeNodes, dutyStart));
  CHECK(nodes({2}) == preference.deprioritizedOwners(nodes({2}), Incumbent{NodeId(2), true}, threeNodes, dutyStart));
  CHECK(nodes({}) == preference.deprioritizedOwners({}, std::nullopt, threeNodes, dutyStart));
}
TEST(dutyPreference, aNodeThatLostTheDutiesIsNotPreferredForALease) {
  preference.noteOwnership(true, dutyStart);
  preference.noteOwnership(false, dutyStart + Ms(100));
  preference.noteOwnership(false, dutyStart + Ms(200));
  // This node's copy of the record still names itself as holder.
  Incumbent const self{NodeId(1), true};
  CHECK(nodes({1}) == preference.deprioritizedOwners({}, self, threeNodes, dutyStart + Ms(3099)));
  CHECK(nodes({1, 3}) == preference.deprioritizedOwners(nodes({3}), self, threeNodes, dutyStart + Ms(3099)));
  CHECK(nodes({2, 3}) == preference.deprioritizedOwners({}, self, threeNodes, dutyStart + Ms(3100)));
}
TEST(dutyPreference, theOwnerFollowsTheRecord) {
  preference.noteOwnership(true, dutyStart);
  preference.noteOwnership(true, dutyStart + Ms(100));
  CHECK(nodes({2, 3}) ==
        preference.deprioritizedOwners({}, Incumbent{NodeId(1), true}, threeNodes, dutyStart + Ms(200)));
}

TEST_GROUP(platformContact){};

TEST(platformContact, aNodeWithoutContactIsListedOnlyWhileAnotherHasContact) {
  PlatformContact contact(NodeId(1), leaseLength, dutyStart);
  TimePoint const later = dutyStart + Ms(4000);
  contact.recordPeerSilence(NodeId(2), Ms(3500), later);
  CHECK(contact.nodesWithoutContact(later).empty());
  contact.recordPeerSilence(NodeId(3), Ms(200), later);
  LONGS_EQUAL(2, contact.nodesWithoutContact(later).size());
  CHECK(contact.nodesWithoutContact(later).contains(NodeId(1)));
  contact.noteReached(later);
  CHECK(!contact.nodesWithoutContact(later).contains(NodeId(1)));
}
TEST(platformContact, oldReportsOfPeersAreIgnored) {
  PlatformContact contact(NodeId(1), leaseLength, dutyStart);
  contact.recordPeerSilence(NodeId(2), Ms(0), dutyStart + Ms(1000));
  CHECK(contact.nodesWithoutContact(dutyStart + Ms(4000)).empty());
}

TEST_GROUP(clusterClock){};

TEST(clusterClock, aMinorityOfWrongClocksDoesNotMoveTheMedian) {
  MedianClock time(Ms(2500));
  for (std::uint64_t node = 1; node <= 5; ++node) {
    std::int64_t const step = node <= 2 ? 2000 : static_cast<std::int64_t>(node);
    time.noteReading(NodeId(node), 1000000 + step, dutyStart);
  }
  LONGS_EQUAL(1000105, *time.nowMs(dutyStart + Ms(100)));
}
TEST(clusterClock, oldReadingsDoNotCount) {
  MedianClock time(Ms(2500));
  CHECK(!time.nowMs(dutyStart));
  time.noteReading(NodeId(1), 5000000, dutyStart);
  time.noteReading(NodeId(2), 1000000, dutyStart + Ms(2000));
  LONGS_EQUAL(1001000, *time.nowMs(dutyStart + Ms(3000)));
}
TEST(clusterClock, aFollowerCorrectsByHalfTheRoundTrip) {
  FollowerClock time(Ms(250));
  CHECK(!time.isSynchronized());
  time.noteAnswer(1000000, dutyStart, dutyStart + Ms(40));
  LONGS_EQUAL(1000020, time.at(dutyStart + Ms(40)));
  time.noteAnswer(9000000, dutyStart, dutyStart + Ms(300));
  LONGS_EQUAL(1000021, time.at(dutyStart + Ms(41)));
}

TEST_GROUP(usageTable){};

TEST(usageTable, repeatedReportsDoNotAddCounts) {
  UsageTable edge, control;
  edge.count(firstEdge, WindowNumber(10), "huka");
  edge.count(firstEdge, WindowNumber(10), "huka");
  for (int n = 0; n < 3; ++n)
    for (NodeUsage const& usage : edge.changedSince(0)) control.merge(usage, dutyStart);
  LONGS_EQUAL(2, control.totals(WindowNumber(10))["huka"]);
  control.merge(usageOf(firstEdge, 10, 1, 9), dutyStart);
  LONGS_EQUAL(2, control.totals(WindowNumber(10))["huka"]);
  control.merge(usageOf(secondEdge, 10, 3, 9), dutyStart);
  LONGS_EQUAL(5, control.totals(WindowNumber(10))["huka"]);
}
TEST(usageTable, onlyChangesAreForwarded) {
  UsageTable table;
  table.count(firstEdge, WindowNumber(10), "huka");
  std::uint64_t const sentRevision = table.revision();
  CHECK(table.changedSince(sentRevision).empty());
  table.count(firstEdge, WindowNumber(11), "puhu");
  vector<NodeUsage> const changed = table.changedSince(sentRevision);
  LONGS_EQUAL(1, changed.size());
  LONGS_EQUAL(1, changed[0].windows.size());
  LONGS_EQUAL(11, changed[0].windows[0].window.value);
}
TEST(usageTable, aLateRequestCountsInTheNextWindowThatIsNotFinal) {
  UsageTable table;
  table.markFinal(firstEdge, WindowNumber(10), dutyStart);
  table.count(firstEdge, WindowNumber(9), "huka");
  LONGS_EQUAL(1, table.totals(WindowNumber(11))["huka"]);
}
TEST(usageTable, nodesAreUnfinishedUntilFinalOrRestarted) {
  UsageTable table;
  std::set<string> const expected{"edge-1", "edge-3"};
  table.merge(usageOf(firstEdge, 10, 1, 9), dutyStart);
  table.merge(usageOf(secondEdge, 10, 1, 9), dutyStart);
  LONGS_EQUAL(3, table.unfinished(WindowNumber(10), expected, dutyStart).size());
  LONGS_EQUAL(2, table.unfinished(WindowNumber(10), expected, dutyStart + Ms(1)).size());
  // A newer process of the node ends the wait for the older one.
  table.merge(usageOf({"edge-1", 99}, 11, 1, 10), dutyStart + Ms(1));
  vector<string> const unfinished = table.unfinished(WindowNumber(10), expected, dutyStart + Ms(1));
  LONGS_EQUAL(1, unfinished.size());
  STRCMP_EQUAL("edge-3", unfinished[0].c_str());
}
TEST(usageTable, closedWindowsAndSilentProcessesAreRemoved) {
  UsageTable table;
  table.merge(usageOf(firstEdge, 10, 1, 9), dutyStart);
  table.merge(usageOf(secondEdge, 11, 1, 9), dutyStart);
  table.forget(WindowNumber(10), dutyStart + Ms(1));
  LONGS_EQUAL(1, table.size());
  LONGS_EQUAL(11, table.firstWindow()->value);
}
TEST(usageTable, aRestartedReceiverIsSentEverything) {
  UsageSendProgress receiver;
  Address const first{"10.0.0.1", 1}, second{"10.0.0.2", 1};
  LONGS_EQUAL(0, receiver.revisionSentTo(first));
  receiver.recordAccepted(first, 5, 0, 20);
  LONGS_EQUAL(20, receiver.revisionSentTo(first));
  LONGS_EQUAL(0, receiver.revisionSentTo(second));
  receiver.recordAccepted(first, 6, 20, 25);
  LONGS_EQUAL(0, receiver.revisionSentTo(first));
}

TEST_GROUP(usageLedger){};

TEST(usageLedger, aWindowIsClosedOnceCountsAreFinalOrTheDeadlinePassed) {
  UsageLedger const ledger({Ms(5000), Ms(10000), Ms(500)});
  LONGS_EQUAL(2, ledger.windowAt(14999).value);
  LONGS_EQUAL(0, ledger.finalAt(10499).value);
  LONGS_EQUAL(1, ledger.finalAt(10500).value);
  CHECK(!ledger.mayClose(WindowNumber(1), 10499, {}));
  CHECK(ledger.mayClose(WindowNumber(1), 10500, {}));
  CHECK(!ledger.mayClose(WindowNumber(1), 17499, {"edge-1"}));
  CHECK(ledger.mayClose(WindowNumber(1), 17500, {"edge-1"}));
}
TEST(usageLedger, theReportEqualsTheCommittedBody) {
  Values values;
  UsageTable table;
  CHECK(!UsageLedger::nextToClose(values, table));
  table.count(firstEdge, WindowNumber(10), "hu\"ka");
  LONGS_EQUAL(10, UsageLedger::nextToClose(values, table)->value);
  for (KeyChange const& change : UsageLedger::changesToClose(WindowNumber(10), table.totals(WindowNumber(10))))
    values[change.key] = change.value;
  LONGS_EQUAL(11, UsageLedger::nextToClose(values, table)->value);
  table.count(firstEdge, WindowNumber(10), "hu\"ka");
  vector<UsageRecord> const unsent = UsageLedger::unsent(values);
  LONGS_EQUAL(1, unsent.size());
  STRCMP_EQUAL("{\"windowNumber\":10,\"counts\":{\"hu\\\"ka\":1}}", unsent[0].body.c_str());
  values.erase(UsageLedger::changeToRemove(WindowNumber(10)).key);
  CHECK(UsageLedger::unsent(values).empty());
  LONGS_EQUAL(10, UsageLedger::progressIn(values)->closedThrough.value);
}

TEST_GROUP(serviceLoadTable){};

TEST(serviceLoadTable, sumsRecentReports) {
  ServiceLoadTable table(Ms(2500));
  table.update("edge-1", {{"app", 3, 1}}, dutyStart);
  table.update("edge-2", {{"app", 4, 0}, {"lm", 2, 0}}, dutyStart + Ms(2000));
  DOUBLES_EQUAL(7, table.sums(dutyStart + Ms(2000))["app"].inFlight, 0);
  DOUBLES_EQUAL(4, table.sums(dutyStart + Ms(3000))["app"].inFlight, 0);
  table.update("edge-2", {}, dutyStart + Ms(3000));
  CHECK(table.sums(dutyStart + Ms(3000)).empty());
}
