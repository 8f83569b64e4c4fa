#include "tests/consensus/membership_runs.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using namespace tealshelf::sim;

namespace {
/// A deployment's control disks, and how many of them may be lost at once.
struct Deployment {
  std::size_t disks, founders;
  std::int64_t survive;
};
constexpr Deployment deployments[] = {{8, 3, 2}, {5, 3, 2}, {4, 3, 1}, {3, 3, 1}};

/// Partitions the machines into two random groups; replaces an earlier partition.
void cutIntoHalves(Cluster& cluster) {
  cluster.cuts.clear();
  std::size_t const disks = cluster.nodes().size();
  vector<bool> inFirstGroup(disks);
  for (std::size_t i = 0; i < disks; ++i) inFirstGroup[i] = cluster.dice(2);
  for (std::size_t a = 0; a < disks; ++a)
    for (std::size_t b = 0; b < disks; ++b)
      if (inFirstGroup[a] != inFirstGroup[b]) cluster.cuts.insert({a, b});
}

/// Loses as many disks as the deployment allows, while all others lose power at the same moment.
std::uint64_t loseDisksAndPower(Cluster& cluster, Deployment const& deployment) {
  std::uint64_t lost = 0;
  for (std::size_t i = 0; i < deployment.disks; ++i)
    if (cluster.nodes()[i].up) cluster.losePower(i);
  for (std::size_t i = cluster.dice(deployment.disks);
       countIncompleteDisks(cluster.nodes()) < static_cast<std::size_t>(deployment.survive);
       i = cluster.dice(deployment.disks)) {
    cluster.wipe(i);
    ++lost;
  }
  return lost;
}

void failOneNode(Cluster& cluster, std::size_t i) {
  Cluster::Node& node = cluster.nodes()[i];
  if (!node.up) return;
  switch (cluster.dice(4)) {
    case 0:
      return cluster.losePower(i);
    case 1:
      return cluster.kill(i);
    case 2:
      node.frozen = true;
      return;
    default:
      node.syncTakes = Ms(cluster.dice(2) ? 5 : 600);
      return;
  }
}

void restoreNode(Cluster& cluster, std::size_t i) {
  if (!cluster.nodes()[i].up)
    cluster.start(i);
  else if (cluster.nodes()[i].frozen)
    cluster.unfreeze(i);
}

/// Random faults within the guarantees: partitions and any number of simultaneous crashes, but no more lost disks than
/// the deployment allows.
string simulate(Deployment const& deployment, std::uint64_t seed, std::uint64_t& wipes, std::uint64_t& writes) {
  Cluster cluster(seed, deployment.disks, false, deployment.founders);
  cluster.joins = true;
  cluster.survive = deployment.survive;
  for (std::size_t i = 0; i < deployment.founders; ++i) cluster.installFirstMembership(i);
  for (int k = 0; k < 60 && countIncompleteDisks(cluster.nodes()); ++k) {
    cluster.run(100);
    cluster.check();
  }
  if (countIncompleteDisks(cluster.nodes())) return "not all disks became members";
  for (int k = 0; k < 5000 && cluster.violation.empty(); ++k) {
    cluster.step();
    if (cluster.dice(3) == 0) cluster.write();
    if (cluster.dice(5) == 0) cluster.read();
    cluster.check();
    if (cluster.dice(60)) continue;
    std::size_t const i = cluster.dice(deployment.disks);
    switch (cluster.dice(12)) {
      case 0:
        cutIntoHalves(cluster);
        break;
      case 1:
        cluster.cuts.clear();
        break;
      case 2:
      case 3:
      case 4:
        failOneNode(cluster, i);
        break;
      case 5:
        if (cluster.dice(4) == 0) wipes += loseDisksAndPower(cluster, deployment);
        break;
      case 6:
        if (countIncompleteDisks(cluster.nodes()) < static_cast<std::size_t>(deployment.survive)) {
          cluster.wipe(i);
          ++wipes;
        }
        break;
      default:
        restoreNode(cluster, i);
        break;
    }
  }
  if (cluster.violation.empty()) wipes += loseDisksAndPower(cluster, deployment);
  for (Cluster::Node& node : cluster.nodes()) node.syncTakes = Ms(5);
  writes += cluster.writes;
  return healAndCheck(cluster);
}
}  // namespace

TEST_GROUP(overlappingLosses){};

/// Partitions, kills, freezes, slow disks and power losses overlap beyond what a deployment survives, with no more
/// disks lost than it allows; at the end disks are lost while all others lose power.
TEST(overlappingLosses, noAcknowledgedWriteIsLostOrReadAsAnOlderOne) {
  std::uint64_t wipes = 0, writes = 0;
  for (Deployment const& deployment : deployments)
    for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
      string const violation = simulate(deployment, 7000 + seed, wipes, writes);
      string const text =
          std::to_string(deployment.disks) + " disks, seed " + std::to_string(7000 + seed) + ": " + violation;
      if (!violation.empty()) FAIL(text.c_str());
    }
  CHECK(wipes > 10);
  CHECK(writes > 100);
}
