#include "tests/consensus/consensus_sim.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

TEST_GROUP(consensus){static std::uint64_t seeds(){return seedCount(12);
}
static void injectFault(sim::Cluster& cluster) {
  std::size_t const n = cluster.nodes().size();
  std::size_t const i = cluster.dice(n);
  std::size_t down = 0;
  for (sim::Cluster::Node const& node : cluster.nodes()) down += !node.up || node.frozen;
  switch (cluster.dice(9)) {
    case 0:
      if (cluster.nodes()[i].up) cluster.losePower(i);
      break;
    case 1:
      if (cluster.nodes()[i].up) cluster.kill(i);
      break;
    case 2:
    case 3:
      if (!cluster.nodes()[i].up) cluster.start(i);
      break;
    case 4:
      if (cluster.nodes()[i].up && down < 2) cluster.nodes()[i].frozen = true;
      break;
    case 5:
      if (cluster.nodes()[i].frozen) cluster.unfreeze(i);
      break;
    case 6:
      cluster.cuts.insert({i, cluster.dice(n)});
      break;
    case 7:
      cluster.cuts.clear();
      break;
    case 8:
      cluster.loss = cluster.dice(3) * 0.1;
      break;
    default:
      break;
  }
}
static string simulate(std::uint64_t seed, std::size_t n, bool skipsSync, std::uint64_t& writes, std::uint64_t& reads,
                       bool syncAtStart = true) {
  sim::Cluster cluster(seed, n, skipsSync);
  cluster.syncAtStart = syncAtStart;
  cluster.run(400);
  std::uint64_t last = 0;
  for (int k = 0; k < 6000 && cluster.violation.empty(); ++k) {
    cluster.step();
    if (cluster.dice(3) == 0) cluster.write();
    if (cluster.dice(5) == 0) cluster.read();
    if (cluster.dice(60) == 0) injectFault(cluster);
    if (cluster.highestAcknowledged > last && cluster.dice(40) == 0)
      for (std::size_t i = 0; i < n; ++i)
        if (cluster.nodes()[i].up) cluster.losePower(i);
    last = cluster.highestAcknowledged;
    cluster.check();
  }
  cluster.heal();
  for (int k = 0; k < 1200 && cluster.violation.empty(); ++k) {
    cluster.step();
    cluster.check();
  }
  writes += cluster.writes;
  reads += cluster.reads;
  if (!cluster.violation.empty()) return cluster.violation;
  std::size_t owners = 0;
  for (sim::Cluster::Node const& node : cluster.nodes()) {
    owners += node.consensus->owns("configuration");
    if (node.consensus->owns("configuration") && cluster.value(node) < cluster.highestAcknowledged)
      return "the owner lost an acknowledged write";
    std::optional<std::map<string, string>> const v = node.consensus->lastKnownValues("configuration");
    if (!v) return node.self.name + " knows no committed values after all faults ended";
    if (std::strtoull(v->at("current").c_str(), nullptr, 10) < cluster.highestAcknowledged)
      return node.self.name + " lags after all faults ended";
  }
  return owners == 1 ? "" : std::to_string(owners) + " owners after all faults ended, expected 1";
}
}
;

TEST(consensus, threeNodesKeepAllGuarantees) {
  std::uint64_t writes = 0, reads = 0;
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    string const violation = simulate(seed, 3, false, writes, reads);
    if (!violation.empty()) FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
  CHECK(writes > 100 && reads > 100);
}

TEST(consensus, fourNodesKeepAllGuarantees) {
  std::uint64_t writes = 0, reads = 0;
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    string const violation = simulate(1000 + seed, 4, false, writes, reads);
    if (!violation.empty()) FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
  CHECK(writes > 100 && reads > 100);
}

TEST(consensus, aReplyBeforeItsSyncIsDetected) {
  std::uint64_t writes = 0, reads = 0;
  bool detected = false;
  for (std::uint64_t seed = 1; seed <= 3000 && !detected; ++seed)
    detected = !simulate(seed, 3, true, writes, reads).empty();
  CHECK_TEXT(detected, "the injected fault was never detected");
}

TEST(consensus, aRestartThatDoesNotSyncIsDetected) {
  std::uint64_t writes = 0, reads = 0;
  bool detected = false;
  for (std::uint64_t seed = 1; seed <= 3000 && !detected; ++seed)
    detected = !simulate(seed, 3, false, writes, reads, false).empty();
  CHECK_TEXT(detected, "the injected fault was never detected");
}

TEST(consensus, restartedMemberLearnsOfNextVersions) {
  sim::Cluster cluster(7, 4);
  cluster.run(600);
  for (int k = 0; k < 40; ++k) {
    cluster.write();
    cluster.run(3);
  }
  for (std::size_t i = 0; i < 4; ++i) {
    cluster.kill(i);
    cluster.run(100);
    cluster.start(i);
    cluster.run(400);
    std::uint64_t const before = cluster.highestAcknowledged;
    for (int k = 0; k < 40; ++k) {
      cluster.write();
      cluster.run(3);
    }
    CHECK(cluster.highestAcknowledged > before);
    cluster.run(200);
    for (sim::Cluster::Node const& node : cluster.nodes()) {
      std::optional<std::map<string, string>> const v = node.consensus->lastKnownValues("configuration");
      CHECK_TEXT(v.has_value(), (node.self.name + " knows no committed values").c_str());
      CHECK(std::strtoull(v->at("current").c_str(), nullptr, 10) >= cluster.highestAcknowledged);
    }
  }
}

TEST(consensus, aWipedOwnerAndAStaleMemberLoseNoAcknowledgedWrite) {
  sim::Cluster cluster(11, 3);
  cluster.run(600);
  for (int k = 0; k < 40; ++k) {
    cluster.write();
    cluster.run(3);
  }
  std::size_t owner = 3;
  for (std::size_t i = 0; i < 3; ++i)
    if (cluster.nodes()[i].consensus->owns("configuration")) owner = i;
  CHECK(owner < 3);
  std::size_t const stale = (owner + 1) % 3, other = (owner + 2) % 3;
  cluster.kill(stale);
  std::uint64_t const before = cluster.highestAcknowledged;
  for (int k = 0; k < 60; ++k) {
    cluster.write();
    cluster.run(3);
  }
  CHECK(cluster.highestAcknowledged > before);
  cluster.losePower(other);
  cluster.losePower(owner);
  // The owner's disk is wiped; its new identity has no vote, so the stale member and the other one decide.
  sim::Cluster::Node& wiped = cluster.nodes()[owner];
  wiped.disk.clear();
  wiped.self.id = NodeId(777);
  wiped.self.founder = false;
  cluster.start(owner);
  cluster.start(other);
  cluster.run(300);
  CHECK(!wiped.consensus->owns("configuration"));
  cluster.start(stale);
  cluster.run(600);
  for (std::size_t i : {stale, other}) {
    if (!cluster.nodes()[i].consensus->owns("configuration")) continue;
    CHECK(cluster.value(cluster.nodes()[i]) >= cluster.highestAcknowledged);
    return;
  }
  FAIL("no node owns the configuration");
}

namespace {
/// Repeatedly isolates a node in one direction or both, freezes it or delays all packets, then ends the fault.
string simulateIsolation(std::uint64_t seed, bool datesContactByArrival, std::uint64_t& writes) {
  sim::Cluster cluster(seed, 3 + seed % 2);
  cluster.datesContactByArrival = datesContactByArrival;
  cluster.run(400);
  for (std::uint64_t round = 0; round < 10; ++round) {
    std::size_t const n = cluster.nodes().size(), i = cluster.dice(n), kind = (seed + round) % 5;
    for (std::size_t j = 0; j < n && kind < 3; ++j) {
      if (kind != 1) cluster.cuts.insert({i, j});
      if (kind != 2) cluster.cuts.insert({j, i});
    }
    cluster.nodes()[i].frozen = kind == 3;
    cluster.delay = kind == 4 ? 2000 : 0;
    for (std::size_t k = 0; k < 1600 && cluster.violation.empty(); ++k) {
      if (k == 800) {
        cluster.cuts.clear();
        cluster.delay = 0;
        if (kind == 3) cluster.unfreeze(i);
        cluster.check();
      }
      cluster.step();
      if (k % 4 == 0) cluster.write();
      cluster.check();
    }
    if (!cluster.violation.empty()) return cluster.violation;
    for (sim::Cluster::Node const& node : cluster.nodes())
      if (!node.consensus->inContactWithMajority(cluster.now()))
        return node.self.name + " has no contact with a majority after the fault ended";
  }
  writes += cluster.writes;
  return "";
}
}  // namespace

TEST(consensus, contactIsDatedByOwnClockReadings) {
  std::uint64_t writes = 0;
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    string const violation = simulateIsolation(seed, false, writes);
    if (!violation.empty()) FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
  CHECK(writes > 100);
}

TEST(consensus, contactDatedByArrivalIsDetected) {
  bool detected = false;
  std::uint64_t writes = 0;
  for (std::uint64_t seed = 1; seed <= 60 && !detected; ++seed)
    detected = simulateIsolation(seed, true, writes).find("acknowledged a newer write") != string::npos;
  CHECK_TEXT(detected, "contact dated by arrival was never detected");
}

namespace {
std::size_t ownerOf(sim::Cluster& cluster) {
  for (std::size_t i = 0; i < cluster.nodes().size(); ++i)
    if (cluster.nodes()[i].up && cluster.nodes()[i].consensus->owns("configuration")) return i;
  return cluster.nodes().size();
}
}  // namespace

TEST(consensus, anIsolatedOwnerStepsDownAndItsPendingWriteEndsAsUnknown) {
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    sim::Cluster cluster(seed, 3);
    cluster.run(400);
    std::size_t const owner = ownerOf(cluster);
    CHECK(owner < 3);
    Consensus& c = *cluster.nodes()[owner].consensus;
    for (std::size_t j = 0; j < 3; ++j) {
      if (seed % 3 != 1) cluster.cuts.insert({owner, j});
      if (seed % 3 != 2) cluster.cuts.insert({j, owner});
    }
    std::uint64_t const before = c.epochOf("configuration").number;
    std::size_t const unknownBefore = cluster.unknown;
    while (!cluster.writing(owner)) cluster.write();
    cluster.run(130);  // the operation timeout and a tick
    CHECK_EQUAL(unknownBefore + 1, cluster.unknown);
    CHECK_FALSE_TEXT(c.owns("configuration"), "it still owns the keyspace after an unknown outcome");
    cluster.run(310);
    CHECK_FALSE(c.owns("members"));
    CHECK(ownerOf(cluster) != owner && ownerOf(cluster) < 3);
    cluster.cuts.clear();
    cluster.run(600);
    CHECK(c.inContactWithMajority(cluster.now()));
    std::size_t const next = ownerOf(cluster);
    CHECK(next < 3 && cluster.nodes()[next].consensus->epochOf("configuration").number > before);
  }
}

TEST(consensus, anUnknownOutcomeTakenForARefusalIsDetected) {
  bool detected = false;
  for (std::uint64_t seed = 1; seed <= 60 && !detected; ++seed) {
    sim::Cluster cluster(seed, 3);
    cluster.countsUnknownAsRefused = true;
    cluster.run(400);
    for (int k = 0; k < 6000 && cluster.violation.empty(); ++k) {
      cluster.step();
      if (cluster.dice(3) == 0) cluster.write();
      if (cluster.dice(60) == 0) injectFault(cluster);
      cluster.check();
    }
    detected = cluster.violation.find("a refused write is in effect") != string::npos;
  }
  CHECK_TEXT(detected, "the injected fault was never detected");
}

namespace {
/// The values that a node would show if it did so only while no write is pending, as an earlier rule required.
std::optional<std::map<string, string>> valuesWhenIdle(sim::Cluster::Node const& node, TimePoint now) {
  Position applied;
  for (KeyspaceProgress const& k : node.consensus->heartbeat(now).keyspaces)
    if (k.keyspace == "configuration") applied = Position{k.epoch, k.applied};
  if (applied.epoch != node.known.epoch || applied.sequence < node.known.sequence || !node.known.sequence)
    return std::nullopt;
  std::map<string, string> v;
  for (KeyspaceCopy const& k : node.consensus->exportKeyspaces())
    for (std::pair<string const, Entry> const& e : k.entries) {
      if (k.keyspace != "configuration") continue;
      if (e.second.epoch != applied.epoch || e.second.sequence > node.known.sequence) return std::nullopt;
      v[e.first] = e.second.value;
    }
  return v;
}
/// Four members under constant writes, one of them restarted midway. Returns where a node shows no values or lags.
string simulateConstantWrites(std::uint64_t seed, bool onlyWhenIdle, std::uint64_t& writes) {
  sim::Cluster cluster(seed, 4);
  cluster.run(600);
  std::size_t const restarted = (ownerOf(cluster) + 1) % 4;
  for (int k = 0; k < 6000 && cluster.violation.empty(); ++k) {
    if (k == 2500) cluster.kill(restarted);
    if (k == 3000) cluster.start(restarted);
    for (int turn = 0; turn < 8; ++turn) cluster.write();
    cluster.step();
    cluster.check();
    if (k < 200) continue;
    for (std::size_t i = 0; i < 4; ++i) {
      sim::Cluster::Node const& node = cluster.nodes()[i];
      if (node.consensus->owns("configuration") || (i == restarted && k >= 2500 && k < 3200)) continue;
      std::optional<std::map<string, string>> const v =
          onlyWhenIdle ? valuesWhenIdle(node, cluster.now()) : node.consensus->lastKnownValues("configuration");
      if (!v) return node.self.name + " shows no values at step " + std::to_string(k);
      if (std::strtoull(v->at("current").c_str(), nullptr, 10) + 12 < cluster.highestAcknowledged)
        return node.self.name + " lags at step " + std::to_string(k);
    }
  }
  writes += cluster.writes;
  return cluster.violation;
}
}  // namespace

TEST(consensus, allMembersSeeCommittedValuesUnderConstantWrites) {
  std::uint64_t writes = 0;
  for (std::uint64_t seed = 1; seed <= seeds() / 2; ++seed) {
    string const violation = simulateConstantWrites(seed, false, writes);
    if (!violation.empty()) FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
  }
  CHECK(writes > 1000 * seeds() / 2);
}

TEST(consensus, readsOnlyFromAnIdleKeyspaceAreDetected) {
  std::uint64_t writes = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed)
    CHECK(simulateConstantWrites(seed, true, writes).find("shows no values") != string::npos);
}

TEST(consensus, aLaggingMemberCatchesUpInChunksDuringWrites) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    sim::Cluster cluster(seed, 4);
    cluster.run(600);
    std::size_t const owner = ownerOf(cluster), away = (owner + 1) % 4;
    cluster.fill(owner, 3000, 200);
    cluster.run(100);
    cluster.loss = seed % 2 ? 0.05 : 0;
    // The first absence is short, the second long; the third is followed by a restart during the transfer.
    for (int const steps : {60, 3000, 30, 600}) {
      cluster.kill(away);
      if (steps == 3000) cluster.fill(owner, 3000, 200);
      for (int k = 0; k < steps; ++k) {
        cluster.write();
        cluster.step();
      }
      cluster.start(away);
      std::size_t const before = cluster.chunks;
      for (int k = 0; k < (steps == 30 ? 110 : 900); ++k) {
        cluster.write();
        cluster.step();
        if (k % 50 == 0) cluster.check();
      }
      if (steps == 60 && !cluster.loss)
        CHECK_TEXT(cluster.chunks - before < 4, "a short absence causes a transfer of the whole state");
    }
    CHECK(cluster.chunks > 10);
    CHECK_TEXT(cluster.largestChunkBytes < 100000, "a chunk exceeds its maximum size");
    cluster.loss = 0;
    cluster.run(400);
    STRCMP_EQUAL("", cluster.violation.c_str());
    std::map<string, string> const v = cluster.nodes()[owner].consensus->committedValues("configuration");
    CHECK(v.size() > 3000 && cluster.nodes()[owner].consensus->owns("configuration"));
    CHECK_TEXT(cluster.nodes()[away].consensus->lastKnownValues("configuration") == v,
               "the member that was absent still lags");
  }
}
