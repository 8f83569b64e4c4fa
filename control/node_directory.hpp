#pragma once
#include "consensus/control_messages.hpp"
#include "updates/update_publisher.hpp"

namespace tealshelf {

/// The live data-plane nodes: those that request updates from this node or from another control node.
class NodeDirectory {
 public:
  NodeDirectory(Settings const& settings, UpdatePublisher& publisher) : settings_(settings), publisher_(publisher) {}
  /// Notes the data-plane nodes that another control node reports.
  void receive(HeartbeatMessage const& message, TimePoint now);
  /// Adds the data-plane nodes that request updates from this node to a heartbeat, if that is due.
  void fillHeartbeat(HeartbeatMessage& message, bool isExtra);
  /// Updates the published lists of each zone's nodes.
  void publish();

  /// All live data-plane nodes, by name.
  std::map<string, DataNode> allNodes(TimePoint now) const;

 private:
  /// The data-plane nodes that request updates from another control node.
  struct PeerNodes {
    vector<DataNode> nodes;
    TimePoint receivedAt;
  };

  Settings const& settings_;
  UpdatePublisher& publisher_;
  std::map<NodeId, PeerNodes> peers_;
  std::uint64_t sentDigest_ = 0;
  int heartbeatsSinceChange_ = 0;
};

}  // namespace tealshelf
