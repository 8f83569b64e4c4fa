#pragma once
#include "tests/consensus/consensus_sim.hpp"
#include "tests/seeds.hpp"

/// Steps that the tests of the membership have in common.
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
/// Runs until all eight are members that hold all keys, for so long at the most.
inline void waitUntilAllAreMembers(Cluster& cluster) {
  for (int k = 0; k < 60; ++k) {
    cluster.run(100);
    std::size_t n = 0;
    for (Cluster::Node const& node : cluster.nodes())
      n += node.consensus->holdsAllKeys() && node.consensus->membership().members.size() == 8;
    if (n == 8) return;
  }
}
/// So many disks don't hold all keys.
inline std::size_t countIncompleteDisks(vector<Cluster::Node> const& nodes) {
  std::size_t n = 0;
  for (Cluster::Node const& node : nodes) n += !node.diskHoldsAllKeys;
  return n;
}
/// Everyone is up again; says what is broken.
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
  if (owners != 1) return std::to_string(owners) + " owners after all was healed";
  std::set<std::uint64_t> numbers;
  for (Cluster::Node const& node : cluster.nodes())
    if (node.consensus->membership().find(node.self.id)) numbers.insert(node.consensus->membership().number.value);
  return numbers.size() == 1 ? "" : "members know different memberships";
}
/// Three disks of four found the membership.
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
