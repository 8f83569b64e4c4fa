#include "updates/relay_topology.hpp"

#include <cmath>

namespace tealshelf {

namespace {
/// The binary order of magnitude of a machine's CPU share; machines of one class count as equal.
int cpuClassOf(DataNode const& node) {
  return node.cpuThousandths ? std::ilogb(static_cast<double>(node.cpuThousandths)) : -1;
}

struct Candidate {
  int negatedCpuClass = 0;
  std::uint64_t hash = 0;
  std::size_t index = 0;
  auto operator<=>(Candidate const&) const = default;
};
}  // namespace

vector<DataNode> RelayTopology::relaysOf(vector<DataNode> const& zone) {
  if (zone.size() <= fanOut) return {};
  vector<Candidate> candidates;
  for (std::size_t i = 0; i < zone.size(); ++i)
    candidates.push_back({-cpuClassOf(zone[i]), hash64(zone[i].name, hash64(zone[i].zone)), i});
  std::sort(candidates.begin(), candidates.end());
  std::size_t const count = (zone.size() + fanOut - 1) / fanOut;
  vector<DataNode> relays;
  for (std::size_t i = 0; i < count; ++i) relays.push_back(zone[candidates[i].index]);
  return relays;
}

vector<DataNode> RelayTopology::parentsOf(string const& self, vector<DataNode> const& relays, bool controlInZone) {
  constexpr std::ptrdiff_t parentsOfRelay = 2;
  auto const own =
      std::find_if(relays.begin(), relays.end(), [&self](DataNode const& relay) { return relay.name == self; });
  if (own != relays.end()) {
    if (controlInZone) return {};
    std::ptrdiff_t const rank = own - relays.begin();
    return vector<DataNode>(relays.begin(), relays.begin() + std::min(rank, parentsOfRelay));
  }
  vector<DataNode> parents = relays;
  std::sort(parents.begin(), parents.end(), [&self](DataNode const& left, DataNode const& right) {
    return hash64(left.name, hash64(self)) > hash64(right.name, hash64(self));
  });
  return parents;
}

std::uint64_t RelayTopology::digest(vector<DataNode> const& nodes) {
  if (nodes.empty()) return 0;
  std::uint64_t digest = 0;
  for (DataNode const& node : nodes)
    digest += hash64(node.name + "/" + node.zone + "/" + node.role + "/" + node.address.text() + "/" +
                         hex(node.rolloutConfirmed) + hex(node.rolloutDrained),
                     node.cpuThousandths);
  return digest | 1;
}

}  // namespace tealshelf
