#include "tests/consensus/consensus_sim.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr std::uint64_t epochSeeds = 40;

void load(sim::Cluster& cluster, std::size_t steps) {
  for (std::size_t k = 0; k < steps && cluster.violation.empty(); ++k) {
    cluster.step();
    if (k % 3 == 0) cluster.write();
    if (k % 7 == 0) cluster.read();
    cluster.check();
  }
}

/// A slow sync, still below the limit at which the disk counts as stalled.
constexpr Ms slowSync(600);

/// The preferred owner restarts with a slower disk than the others and could acknowledge writes before its own vote is
/// synced. Then all nodes lose power at once and restart, on a network that loses packets.
string ownerWithASlowDisk(std::uint64_t seed, std::uint64_t& acknowledgedBefore) {
  sim::Cluster cluster(seed, 3);
  cluster.run(400);
  load(cluster, 100);
  std::size_t const owner = cluster.ownerOf("configuration");
  cluster.losePower(owner);
  cluster.run(400);
  load(cluster, 100);
  sim::Cluster::Node& node = cluster.nodes()[owner];
  node.syncTakes = slowSync;
  cluster.start(owner);
  std::uint64_t const before = cluster.highestAcknowledged;
  load(cluster, 40 + cluster.dice(120));
  acknowledgedBefore += cluster.highestAcknowledged - before;
  for (std::size_t i = 0; i < 3; ++i) cluster.losePower(i);
  node.syncTakes = Ms(5);
  cluster.run(cluster.dice(30));
  cluster.loss = 0.3;
  for (std::size_t i = 0; i < 3; ++i) cluster.start((owner + i) % 3);
  load(cluster, 300);
  cluster.loss = 0;
  load(cluster, 400);
  if (!cluster.violation.empty()) return cluster.violation;
  std::size_t const last = cluster.ownerOf("configuration");
  if (last == 3) return "no owner after all nodes restarted";
  return cluster.value(cluster.nodes()[last]) < cluster.highestAcknowledged ? "the owner lost an acknowledged write"
                                                                            : "";
}
}  // namespace

TEST_GROUP(epochs){};

/// An owner must never use an epoch again under which it wrote before a power loss.
TEST(epochs, aPowerLossOfAnOwnerWithASlowDiskLosesNoWrite) {
  std::uint64_t acknowledged = 0;
  std::size_t broken = 0;
  string first;
  for (std::uint64_t seed = 1; seed <= seedCount(epochSeeds); ++seed) {
    string const what = ownerWithASlowDisk(seed, acknowledged);
    if (what.empty()) continue;
    if (!broken++) first = "seed " + std::to_string(seed) + ": " + what;
  }
  string const text = std::to_string(broken) + " of " + std::to_string(seedCount(epochSeeds)) + " seeds; " + first;
  CHECK_TEXT(!broken, text.c_str());
  CHECK(acknowledged > 0);
}

/// An epoch could be used twice if the others voted and stored writes while the owner's own vote wasn't synced.
TEST(epochs, noNodeOwnsAKeyspaceBeforeItsOwnVoteIsSynced) {
  sim::Cluster cluster(3, 3);
  cluster.run(400);
  std::size_t const preferred = cluster.ownerOf("configuration");
  cluster.losePower(preferred);
  cluster.run(400);
  sim::Cluster::Node& node = cluster.nodes()[preferred];
  node.syncTakes = std::chrono::hours(1);
  cluster.start(preferred);
  for (int k = 0; k < 400; ++k) {
    cluster.step();
    CHECK(!node.consensus->owns("configuration"));
  }
}

/// A change based on values read under an earlier ownership is refused, even by the same node.
TEST(epochs, aChangeUnderAnEarlierOwnershipIsRefused) {
  sim::Cluster cluster(5, 3);
  cluster.run(400);
  std::size_t const owner = cluster.ownerOf("configuration");
  Consensus& consensus = *cluster.nodes()[owner].consensus;
  Epoch const before = consensus.epochOf("configuration");
  vector<KeyChange> const changes{{"stamp", "1", false}};
  std::optional<bool> written, refused;
  cluster.begin(
      owner, [&](Consensus& at) { return at.propose("configuration", changes, cluster.now(), before); },
      [&](bool committed) { written = committed; });
  cluster.run(60);
  CHECK(written.value_or(false));
  consensus.relinquish("configuration");
  cluster.run(200);
  CHECK(consensus.owns("configuration"));
  CHECK(consensus.epochOf("configuration") > before);
  cluster.begin(
      owner, [&](Consensus& at) { return at.propose("configuration", changes, cluster.now(), before); },
      [&](bool committed) { refused = !committed; });
  cluster.run(60);
  CHECK(refused.value_or(false));
}
