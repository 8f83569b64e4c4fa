#pragma once
#include "tests/consensus_sim.hpp"

#include <cstdlib>

/// Steps that the tests of the membership have in common.
namespace tealshelf::sim {

inline std::uint64_t seeds() {
  char const* const s = std::getenv("TEALSHELF_SEEDS");
  return s ? std::strtoull(s, nullptr, 10) : 8;
}
inline void write(Cluster& g, int n) {
  for (int k = 0; k < 8 * n; ++k) {
    g.write();
    g.run(3);
  }
}
/// Runs until all eight are members that hold all keys, for so long at the most.
inline void founded(Cluster& g) {
  for (int k = 0; k < 60; ++k) {
    g.run(100);
    std::size_t n = 0;
    for (Cluster::Node const& x : g.nodes())
      n += x.consensus->holdsAllKeys() && x.consensus->membership().members.size() == 8;
    if (n == 8) return;
  }
}
/// So many disks don't hold all keys.
inline std::size_t thin(vector<Cluster::Node> const& nodes) {
  std::size_t n = 0;
  for (Cluster::Node const& x : nodes) n += !x.whole;
  return n;
}
/// Everyone is up again; says what is broken.
inline string healed(Cluster& g) {
  g.cuts.clear();
  g.loss = 0;
  for (std::size_t i = 0; i < g.nodes().size(); ++i) {
    if (!g.nodes()[i].up)
      g.start(i);
    else if (g.nodes()[i].frozen)
      g.thaw(i);
  }
  for (int k = 0; k < 2500 && g.broken.empty(); ++k) {
    g.step();
    g.check();
  }
  if (!g.broken.empty()) return g.broken;
  std::size_t owners = 0;
  for (Cluster::Node const& x : g.nodes()) {
    owners += x.consensus->owns("configuration");
    if (x.consensus->owns("configuration") && g.value(x) < g.acked) return "the owner lost an acknowledged write";
  }
  if (owners != 1) return std::to_string(owners) + " owners after all was healed";
  std::set<std::uint64_t> numbers;
  for (Cluster::Node const& x : g.nodes())
    if (x.consensus->membership().find(x.self.id)) numbers.insert(x.consensus->membership().number.value);
  return numbers.size() == 1 ? "" : "members know different memberships";
}
/// Three disks of four found the membership.
inline void foundThree(Cluster& g) {
  g.joins = true;
  g.survive = 1;
  for (std::size_t i = 0; i < 3; ++i) g.found(i);
}
inline void cutBoth(Cluster& g, std::size_t a, std::size_t b) {
  g.cuts.insert({a, b});
  g.cuts.insert({b, a});
}
inline MembershipPolicy policyOf(Cluster const& g) {
  return MembershipPolicy{g.deadAfter, 3};
}

}  // namespace tealshelf::sim
