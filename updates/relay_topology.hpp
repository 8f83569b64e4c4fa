#pragma once
#include "updates/messages.hpp"

namespace tealshelf {

/// Selects the relays of a zone and the sources of each node: pure functions of the zone's live nodes, so that all
/// nodes arrive at the same result.
struct RelayTopology {
  /// Average number of nodes that one relay serves; it accepts at most twice as many.
  static constexpr std::size_t fanOut = 8;
  /// The relays of a zone, machines with the largest CPU share first, by rendezvous hash among equals; none while the
  /// zone is small enough for control nodes to serve it directly.
  static vector<DataNode> relaysOf(vector<DataNode> const& zone);
  /// The relays that a node polls before control nodes, in order of preference. With a control node in its zone, a
  /// relay polls control nodes only; without one, a relay polls relays ranked before it, so that only the first one's
  /// requests cross zones, or the second one's if the first fails.
  static vector<DataNode> parentsOf(string const& self, vector<DataNode> const& relays, bool controlInZone);
  /// Digest of a list of nodes, independent of its order; 0 for an empty list.
  static std::uint64_t digest(vector<DataNode> const& nodes);
};

}  // namespace tealshelf
