#pragma once
#include "updates/messages.hpp"

namespace tealshelf {

/// Who relays updates in a zone and whom each node asks: pure functions of the zone's live nodes, so that every node
/// works out the same.
struct RelayTopology {
  /// So many nodes are served by one node at the most, in the mean; twice as many are let in.
  static constexpr std::size_t fanOut = 8;
  /// The relays of a zone, strongest machines first, rendezvous order among equals; none while the zone is small enough
  /// for control to serve it directly.
  static vector<DataNode> relaysOf(vector<DataNode> const& zone);
  /// Whom a node asks before control, in order. With a control node in its zone a relay asks control; without one only
  /// the first relay's requests cross zones, the second is in reserve.
  static vector<DataNode> parentsOf(string const& self, vector<DataNode> const& relays, bool controlInZone);
  /// Digest of a list of nodes, whatever its order; 0 for none.
  static std::uint64_t digest(vector<DataNode> const& nodes);
};

}  // namespace tealshelf
