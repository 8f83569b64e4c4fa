#include "control/node_directory.hpp"

#include "updates/relay_topology.hpp"

namespace tealshelf {

namespace {
/// A changed list is sent with this many heartbeats, and then repeated at this interval, in heartbeats.
constexpr int heartbeatsAfterChange = 3, heartbeatsBetweenRepeats = 16;
}  // namespace

void NodeDirectory::receive(HeartbeatMessage const& message, TimePoint now) {
  PeerNodes& peer = peers_[message.heartbeat.sender.id];
  peer.receivedAt = now;
  if (message.carriesNodes) peer.nodes = message.nodes;
}

void NodeDirectory::fillHeartbeat(HeartbeatMessage& message, bool isExtra) {
  vector<DataNode> const localNodes = publisher_.recentNodes(Clock::now());
  message.nodesDigest = RelayTopology::digest(localNodes);
  if (message.nodesDigest != sentDigest_) {
    sentDigest_ = message.nodesDigest;
    heartbeatsSinceChange_ = 0;
  }
  message.carriesNodes = isExtra || heartbeatsSinceChange_ < heartbeatsAfterChange ||
                         heartbeatsSinceChange_ % heartbeatsBetweenRepeats == 0;
  if (!isExtra) ++heartbeatsSinceChange_;
  if (message.carriesNodes) message.nodes = localNodes;
}

std::map<string, DataNode> NodeDirectory::allNodes(TimePoint now) const {
  std::map<string, DataNode> all;
  for (DataNode const& node : publisher_.recentNodes(now)) all[node.name] = node;
  for (auto const& [control, peer] : peers_) {
    if (now - peer.receivedAt > settings_.bounds.inTouch / 2) continue;
    for (DataNode const& node : peer.nodes) all.emplace(node.name, node);
  }
  return all;
}

void NodeDirectory::publish() {
  std::map<string, DataNode> const all = allNodes(Clock::now());
  bool changed = false;
  for (auto const& [name, node] : all) {
    // Confirmations of rollouts are for control nodes only.
    DataNode published = node;
    published.rolloutConfirmed = published.rolloutDrained = 0;
    changed = publisher_.zones[node.zone].put(name, serialize(published)) || changed;
  }
  for (auto& [zone, table] : publisher_.zones) {
    vector<string> departed;
    for (auto const& [name, row] : table.rows())
      if (!all.contains(name)) departed.push_back(name);
    for (string const& name : departed) changed = table.erase(name) || changed;
  }
  if (changed) publisher_.notifyAfter(settings_.bounds.inTouch / 80);
}

}  // namespace tealshelf
