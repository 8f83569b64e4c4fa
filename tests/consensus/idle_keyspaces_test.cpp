#include "tests/consensus/consensus_probe.hpp"
#include "tests/consensus/membership_runs.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const lotKeyspace = "lots/unused.example";
/// Steps of 5 ms in which an unused keyspace is dropped, and those in which an owner is found.
constexpr std::size_t stepsUntilDropped = 1000, stepsUntilOwned = 200;

vector<string> namesInHeartbeat(sim::Cluster::Node const& node, TimePoint now) {
  vector<string> names;
  for (KeyspaceProgress const& progress : node.consensus->heartbeat(now).keyspaces) names.push_back(progress.keyspace);
  return names;
}

bool contains(vector<string> const& names, string const& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

void useAtAll(sim::Cluster& cluster, string const& keyspace) {
  for (sim::Cluster::Node& node : cluster.nodes()) node.consensus->useKeyspace(keyspace, cluster.now());
}

void restartAll(sim::Cluster& cluster) {
  for (std::size_t i = 0; i < cluster.nodes().size(); ++i) cluster.kill(i);
  for (std::size_t i = 0; i < cluster.nodes().size(); ++i) cluster.start(i);
}

/// Proposes a key at the keyspace's owner; true if it is acknowledged.
bool writeAtOwner(sim::Cluster& cluster, string const& keyspace, string const& key) {
  std::size_t const owner = cluster.ownerOf(keyspace);
  if (owner == cluster.nodes().size()) return false;
  bool isCommitted = false;
  cluster.begin(
      owner,
      [&](Consensus& consensus) {
        return consensus.propose(keyspace, {{key, "value", false}}, cluster.now());
      },
      [&isCommitted](bool committed) { isCommitted = committed; });
  cluster.run(stepsUntilOwned);
  return isCommitted;
}

/// One ownership of a keyspace in a seeded run.
struct Ownership {
  std::size_t node = 0;
  std::uint64_t process = 0;
  bool isActive = true;
};

/// A run in which keyspaces are used, stay empty or get entries, and are dropped by each node on its own, while nodes
/// lose power, freeze, are cut off, and disks are wiped.
class IdleKeyspaceRun {
 public:
  IdleKeyspaceRun(std::uint64_t seed, bool forgetsVotes)
      : cluster_(seed, nodes, false, 3), forgetsVotes_(forgetsVotes) {
    cluster_.joins = true;
    cluster_.survive = 2;
    for (std::size_t i = 0; i < 3; ++i) cluster_.installFirstMembership(i);
  }
  /// The first violation, or an empty text.
  string run() {
    sim::waitUntilAllAreMembers(cluster_);
    for (int turn = 0; turn < 6000 && violation().empty(); ++turn) {
      step();
      if (cluster_.dice(50) == 0) use();
      if (cluster_.dice(10) == 0) write();
      if (cluster_.dice(50) == 0) compact(cluster_.dice(nodes));
      if (cluster_.dice(70) == 0) disturb();
    }
    cluster_.heal();
    for (int turn = 0; turn < 2000 && violation().empty(); ++turn) step();
    if (violation().empty()) checkAcknowledged();
    return violation();
  }
  std::size_t drops() const { return drops_; }
  std::size_t acknowledged() const { return acknowledged_.size(); }

 private:
  static constexpr std::size_t nodes = 5, keyspaces = 4;

  string violation() const { return cluster_.violation.empty() ? violation_ : cluster_.violation; }
  string keyspace() { return "lots/" + std::to_string(cluster_.dice(keyspaces)); }
  void step() {
    cluster_.step();
    cluster_.check();
    for (sim::Cluster::Node& node : cluster_.nodes())
      if (forgetsVotes_ && node.up) ConsensusProbe::forgetDroppedVote(*node.consensus);
    for (std::size_t k = 0; k < keyspaces; ++k) checkOwnership("lots/" + std::to_string(k));
    countDrops();
  }
  /// Within one process a node has fewer keyspaces only if it dropped some.
  void countDrops() {
    for (std::size_t i = 0; i < nodes; ++i) {
      sim::Cluster::Node const& node = cluster_.nodes()[i];
      std::size_t const count = node.consensus->keyspaces().size();
      bool const isSameProcess = node.up && countedProcesses_[i] == node.processNumber;
      if (isSameProcess && count < counts_[i]) ++drops_;
      countedProcesses_[i] = node.processNumber;
      counts_[i] = count;
    }
  }
  /// No two ownerships of a keyspace have epochs of the same number, whoever owned it.
  void checkOwnership(string const& name) {
    std::set<std::uint64_t> present;
    for (std::size_t i = 0; i < nodes; ++i) {
      sim::Cluster::Node const& node = cluster_.nodes()[i];
      if (!node.up || !node.consensus->owns(name)) continue;
      std::uint64_t const number = node.consensus->epochOf(name).number;
      present.insert(number);
      auto const [known, isNew] = ownerships_[name].try_emplace(number, Ownership{i, node.processNumber, true});
      Ownership const& first = known->second;
      bool const isSame = first.isActive && first.node == i && first.process == node.processNumber;
      if (!isSame) violation_ = name + " was owned twice under epoch " + std::to_string(number);
    }
    for (auto& [number, ownership] : ownerships_[name])
      if (!present.contains(number)) ownership.isActive = false;
  }
  void use() {
    sim::Cluster::Node& node = cluster_.nodes()[cluster_.dice(nodes)];
    if (node.up && !node.frozen) node.consensus->useKeyspace(keyspace(), cluster_.now());
  }
  void write() {
    string const name = keyspace();
    std::size_t const owner = cluster_.ownerOf(name);
    // Most ownerships stay without a write, so that keyspaces are dropped.
    if (owner == nodes || !cluster_.nodes()[owner].up || cluster_.dice(20)) return;
    string const key = "key-" + std::to_string(++lastKey_);
    cluster_.begin(
        owner,
        [&](Consensus& consensus) {
          return consensus.propose(name, {{key, "value", false}}, cluster_.now());
        },
        [this, name, key](bool committed) {
          if (committed) acknowledged_.insert({name, key});
        });
  }
  /// Replaces a log by a snapshot, so that dropped keyspaces are gone from the disk.
  void compact(std::size_t i) {
    sim::Cluster::Node& node = cluster_.nodes()[i];
    bool const isSynced = node.up && node.unsynced.empty() && node.cached.empty() && node.waiting.empty();
    if (isSynced) node.disk = node.consensus->snapshot();
  }
  void disturb() {
    std::size_t const i = cluster_.dice(nodes);
    sim::Cluster::Node& node = cluster_.nodes()[i];
    switch (cluster_.dice(9)) {
      case 0:
        if (node.up) cluster_.losePower(i);
        break;
      case 1:
        if (node.up) cluster_.kill(i);
        break;
      case 2:
      case 3:
        if (!node.up) cluster_.start(i);
        break;
      case 4:
        if (node.up) node.frozen = true;
        break;
      case 5:
        if (node.frozen) cluster_.unfreeze(i);
        break;
      case 6:
        cluster_.cuts.insert({i, cluster_.dice(nodes)});
        break;
      case 7:
        cluster_.cuts.clear();
        cluster_.loss = static_cast<double>(cluster_.dice(3)) * 0.05;
        break;
      default:
        if (sim::countIncompleteDisks(cluster_.nodes()) < 1) cluster_.wipe(i);
        break;
    }
  }
  void checkAcknowledged() {
    for (auto const& [name, key] : acknowledged_) {
      std::size_t const owner = cluster_.ownerOf(name);
      if (owner == nodes) violation_ = name + " has entries and no owner";
      if (owner != nodes && !cluster_.nodes()[owner].consensus->committedValues(name).contains(key))
        violation_ = name + " lost " + key;
    }
  }

  sim::Cluster cluster_;
  bool forgetsVotes_;
  string violation_;
  std::map<string, std::map<std::uint64_t, Ownership>> ownerships_;  ///< by keyspace and number of the epoch
  std::set<std::pair<string, string>> acknowledged_;                 ///< keyspaces and keys
  std::uint64_t lastKey_ = 0;
  std::array<std::size_t, nodes> counts_{};
  std::array<std::uint64_t, nodes> countedProcesses_{};
  std::size_t drops_ = 0;
};
}  // namespace

/// A keyspace that nothing needs costs nothing, and is dropped without any loss of safety.
TEST_GROUP(idleKeyspaces){};

// Guards against heartbeats, ticks and disks that grow with each keyspace that was ever used.
TEST(idleKeyspaces, anUnusedKeyspaceIsDropped) {
  sim::Cluster cluster(1, 3);
  cluster.run(400);
  useAtAll(cluster, lotKeyspace);
  cluster.run(stepsUntilOwned);
  CHECK(cluster.ownerOf(lotKeyspace) < 3);
  cluster.run(stepsUntilDropped);
  for (sim::Cluster::Node const& node : cluster.nodes()) {
    CHECK(node.consensus->keyspaces() == (vector<string>{"configuration", "members"}));
    // The membership, the vote for what was dropped, and the two keyspaces.
    LONGS_EQUAL(4, node.consensus->snapshot().size());
  }
}
// Guards against leftovers on disk that are owned, synced and sent in heartbeats again after a restart.
TEST(idleKeyspaces, leftoversOnDiskAreNotTakenOver) {
  sim::Cluster cluster(2, 3);
  cluster.run(400);
  useAtAll(cluster, lotKeyspace);
  cluster.run(stepsUntilOwned);
  restartAll(cluster);
  for (sim::Cluster::Node const& node : cluster.nodes()) CHECK(contains(node.consensus->keyspaces(), lotKeyspace));
  for (std::size_t turn = 0; turn < stepsUntilOwned; ++turn) {
    cluster.step();
    CHECK(cluster.ownerOf(lotKeyspace) == 3);
    for (sim::Cluster::Node const& node : cluster.nodes())
      CHECK(!contains(namesInHeartbeat(node, cluster.now()), lotKeyspace));
  }
  cluster.run(stepsUntilDropped);
  for (sim::Cluster::Node const& node : cluster.nodes()) CHECK(!contains(node.consensus->keyspaces(), lotKeyspace));
}
// Guards against lots that are lost with the route of their host, or with a restart.
TEST(idleKeyspaces, aKeyspaceWithEntriesStays) {
  sim::Cluster cluster(3, 3);
  cluster.run(400);
  useAtAll(cluster, lotKeyspace);
  cluster.run(stepsUntilOwned);
  CHECK(writeAtOwner(cluster, lotKeyspace, "lot"));
  cluster.run(stepsUntilDropped);
  restartAll(cluster);
  cluster.run(stepsUntilDropped);
  std::size_t const owner = cluster.ownerOf(lotKeyspace);
  CHECK(owner < 3);
  CHECK(cluster.nodes()[owner].consensus->committedValues(lotKeyspace).contains("lot"));
}
// Guards against a member that was away while a keyspace got its first entries and never catches up.
TEST(idleKeyspaces, aMemberThatWasAwayCatchesUp) {
  sim::Cluster cluster(4, 3);
  cluster.run(400);
  useAtAll(cluster, lotKeyspace);
  cluster.run(stepsUntilOwned);
  std::size_t const away = (cluster.ownerOf(lotKeyspace) + 1) % 3;
  cluster.run(stepsUntilDropped);
  cluster.kill(away);
  useAtAll(cluster, lotKeyspace);
  cluster.run(2 * stepsUntilOwned);
  CHECK(writeAtOwner(cluster, lotKeyspace, "lot"));
  cluster.start(away);
  cluster.run(stepsUntilDropped);
  CHECK(ConsensusProbe::holds(*cluster.nodes()[away].consensus, lotKeyspace, "lot"));
}
// Guards against generation stamps that are given twice, as they are made of the owner's epoch.
TEST(idleKeyspaces, aKeyspaceThatComesBackHasAHigherEpoch) {
  sim::Cluster cluster(5, 3);
  cluster.run(400);
  std::uint64_t last = 0;
  for (int round = 0; round < 4; ++round) {
    useAtAll(cluster, lotKeyspace);
    cluster.run(stepsUntilOwned);
    std::size_t const owner = cluster.ownerOf(lotKeyspace);
    CHECK(owner < 3);
    std::uint64_t const epoch = cluster.nodes()[owner].consensus->epochOf(lotKeyspace).number;
    CHECK(epoch > last);
    last = epoch;
    cluster.run(stepsUntilDropped);
    CHECK(!contains(cluster.nodes()[owner].consensus->keyspaces(), lotKeyspace));
    if (round == 1) restartAll(cluster);
    cluster.run(stepsUntilOwned);
  }
}
// Guards against a route whose removal leaves its keyspace, and one that is added back and has no owner.
TEST(idleKeyspaces, theKeptKeyspacesAreThoseNamedLast) {
  sim::Cluster cluster(6, 3);
  cluster.run(400);
  for (sim::Cluster::Node& node : cluster.nodes()) node.consensus->keepKeyspaces("lots/", {lotKeyspace, "lots/other"});
  cluster.run(stepsUntilDropped);
  CHECK(cluster.ownerOf(lotKeyspace) < 3);
  for (sim::Cluster::Node& node : cluster.nodes()) node.consensus->keepKeyspaces("lots/", {"lots/other"});
  cluster.run(stepsUntilDropped);
  CHECK(cluster.ownerOf(lotKeyspace) == 3);
  CHECK(cluster.ownerOf("lots/other") < 3);
  CHECK(cluster.ownerOf("configuration") < 3);
  for (sim::Cluster::Node& node : cluster.nodes()) node.consensus->keepKeyspaces("lots/", {lotKeyspace, "lots/other"});
  cluster.run(stepsUntilOwned);
  CHECK(cluster.ownerOf(lotKeyspace) < 3);
}
// Guards against a keyspace that a late reply brings back after it was dropped.
TEST(idleKeyspaces, aLateReplyBringsNothingBack) {
  sim::Cluster cluster(7, 3);
  cluster.run(400);
  Consensus& consensus = *cluster.nodes()[0].consensus;
  NodeId const from = cluster.nodes()[1].self.id, to = cluster.nodes()[0].self.id;
  consensus.receive({consensus.membership().number, from, to, lotKeyspace, Epoch{1, to}, VoteReply{}}, cluster.now());
  CHECK(!contains(consensus.keyspaces(), lotKeyspace));
  Heartbeat late = cluster.nodes()[1].consensus->heartbeat(cluster.now());
  late.keyspaces.push_back({lotKeyspace, Epoch{1, from}, 1, 1, true, true});
  consensus.receiveHeartbeat(late, cluster.now());
  CHECK(!contains(consensus.keyspaces(), lotKeyspace));
}
// Guards against two ownerships under one epoch, and against acknowledged entries that are lost with a dropped vote.
TEST(idleKeyspaces, droppingLosesNeitherVotesNorEntries) {
  std::size_t drops = 0, acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= seedCount(12); ++seed) {
    IdleKeyspaceRun run(seed, false);
    string const violation = run.run();
    CHECK_TEXT(violation.empty(), (violation + ", seed " + std::to_string(seed)).c_str());
    drops += run.drops();
    acknowledged += run.acknowledged();
  }
  CHECK(drops > 0);
  CHECK(acknowledged > 0);
}
TEST(idleKeyspaces, forgottenVotesAreDetected) {
  bool isDetected = false;
  for (std::uint64_t seed = 1; seed <= 40 && !isDetected; ++seed)
    isDetected = IdleKeyspaceRun(seed, true).run().find("owned twice") != string::npos;
  CHECK_TEXT(isDetected, "the injected fault was never detected");
}
