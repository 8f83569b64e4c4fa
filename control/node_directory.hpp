#pragma once
#include "consensus/control_messages.hpp"
#include "updates/update_publisher.hpp"

namespace tealshelf {

/// The data-plane nodes that are alive, by who asks for updates here and at the other control nodes.
class NodeDirectory {
 public:
  NodeDirectory(Settings const& settings, UpdatePublisher& publisher) : settings_(settings), publisher_(publisher) {}
  /// Takes in what another control node says of who asks there.
  void receive(HeartbeatMessage const& message, TimePoint now);
  /// Adds who asks here to a heartbeat, when that is due.
  void fillHeartbeat(HeartbeatMessage& message, bool isExtra);
  /// Brings the published lists of the zones' nodes up to date.
  void publish();

  /// All data-plane nodes that are alive, by name.
  std::map<string, DataNode> allNodes(TimePoint now) const;

 private:
  /// Who asks at another control node.
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
