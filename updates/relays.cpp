#include "updates/relays.hpp"

#include <cmath>

namespace tealshelf {

namespace {
/// Machines whose shares are within a power of two of each other count as equals.
int strength(NodeRow const& n) {
  return n.cpu ? std::ilogb(static_cast<double>(n.cpu)) : -1;
}
}  // namespace

vector<NodeRow> Relays::of(vector<NodeRow> const& zone) {
  if (zone.size() <= fanOut) return {};
  vector<std::tuple<int, std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < zone.size(); ++i)
    order.emplace_back(-strength(zone[i]), hash64(zone[i].name, hash64(zone[i].zone)), i);
  std::sort(order.begin(), order.end());
  vector<NodeRow> r;
  for (std::size_t i = 0; i < (zone.size() + fanOut - 1) / fanOut; ++i) r.push_back(zone[std::get<2>(order[i])]);
  return r;
}

vector<NodeRow> Relays::parents(string const& self, vector<NodeRow> const& relays, bool controlInZone) {
  std::size_t rank = 0;
  while (rank < relays.size() && relays[rank].name != self) ++rank;
  if (rank < relays.size()) {
    if (controlInZone) return {};
    return vector<NodeRow>(relays.begin(),
                           relays.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(rank, 2)));
  }
  vector<NodeRow> r = relays;
  std::sort(r.begin(), r.end(), [&](NodeRow const& a, NodeRow const& b) {
    return hash64(a.name, hash64(self)) > hash64(b.name, hash64(self));
  });
  return r;
}

std::uint64_t Relays::digest(vector<NodeRow> const& l) {
  std::uint64_t d = 0;
  for (NodeRow const& n : l) d += hash64(n.name + "/" + n.zone + "/" + n.role + "/" + n.at.text(), n.cpu);
  return l.empty() ? 0 : d | 1;
}

}  // namespace tealshelf
