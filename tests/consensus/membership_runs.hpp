#pragma once
#include "tests/consensus/consensus_sim.hpp"
#include "tests/seeds.hpp"

/// Steps shared by the membership tests.
namespace tealshelf::sim {

inline std::uint64_t seeds() {
  return seedCount(8);
}
inline void write(Cluster& cluster, int n) {
  for (int k = 0; k < 8 * n; ++k) {
    cluster.write();
    cluster.run(3);
  }
}
/// Runs until all eight nodes are members that hold all keys, for 30 s of simulated time at most.
inline void waitUntilAllAreMembers(Cluster& cluster) {
  for (int k = 0; k < 60; ++k) {
    cluster.run(100);
    std::size_t n = 0;
    for (Cluster::Node const& node : cluster.nodes())
      n += node.consensus->holdsAllKeys() && node.consensus->membership().members.size() == 8;
    if (n == 8) return;
  }
}
/// The number of disks that aren't known to hold all keys.
inline std::size_t countIncompleteDisks(vector<Cluster::Node> const& nodes) {
  std::size_t n = 0;
  for (Cluster::Node const& node : nodes) n += !node.diskHoldsAllKeys;
  return n;
}
/// Ends all faults, runs on and returns the violation found, or nothing.
inline string healAndCheck(Cluster& cluster) {
  cluster.heal();
  for (int k = 0; k < 2500 && cluster.violation.empty(); ++k) {
    cluster.step();
    cluster.check();
  }
  if (!cluster.violation.empty()) return cluster.violation;
  std::size_t owners = 0;
  for (Cluster::Node const& node : cluster.nodes()) {
    owners += node.consensus->owns("configuration");
    if (node.consensus->owns("configuration") && cluster.value(node) < cluster.highestAcknowledged)
      return "the owner lost an acknowledged write";
  }
  if (owners != 1) return std::to_string(owners) + " owners after all faults ended, expected 1";
  std::set<std::uint64_t> numbers;
  for (Cluster::Node const& node : cluster.nodes())
    if (node.consensus->membership().find(node.self.id)) numbers.insert(node.consensus->membership().number.value);
  return numbers.size() == 1 ? "" : "members know different memberships";
}
/// Installs a first membership of three nodes; others join it.
inline void foundThree(Cluster& cluster) {
  cluster.joins = true;
  cluster.survive = 1;
  for (std::size_t i = 0; i < 3; ++i) cluster.installFirstMembership(i);
}
inline void cutBoth(Cluster& cluster, std::size_t a, std::size_t b) {
  cluster.cuts.insert({a, b});
  cluster.cuts.insert({b, a});
}
inline MembershipPolicy policyOf(Cluster const& cluster) {
  return MembershipPolicy{cluster.deadAfter, 3};
}

}  // namespace tealshelf::sim
