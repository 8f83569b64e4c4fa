#include "control/control_node.hpp"

namespace tealshelf {

/// What the control nodes tell each other of workers and data-plane nodes.
bool ControlNode::onHeartbeat(HeartbeatMessage const& m) {
  TimePoint const now = Clock::now();
  NodeId const from = m.heartbeat.sender.id;
  bool updated = false;
  table_.alive(from, now);
  if (m.wholeRegistry)
    updated = table_.mergeAll(m.workers, from, now);
  else
    for (Worker const& w : m.workers) updated = table_.merge(w, now) || updated;
  if ((m.wholeRegistry || m.registryDigest == publisher_.common.digest()) && tables_.insert(from).second)
    updated = true;
  health_.heard(from, m.tallies, now);
  Part& p = parts_[from];
  p.at = now;
  if (m.carriesNodes) {
    p.nodes = m.nodes;
    p.digest = m.nodesDigest;
  }
  if (updated) changed();
  return !m.wholeRegistry && m.registryDigest != publisher_.common.digest();
}

void ControlNode::fillHeartbeat(HeartbeatMessage& m, bool full) {
  // Before its own register can be whole, a node doesn't call it so.
  m.wholeRegistry = full && (table_.size() || tableWhole());
  if (m.wholeRegistry)
    m.workers = table_.all();
  else if (!full)
    m.workers = table_.fresh();
  health_.note(publisher_.takeTallies(), Clock::now());
  m.tallies = health_.report(Clock::now());
  m.registryDigest = publisher_.common.digest();
  vector<NodeRow> const here = publisher_.heard(Clock::now());
  m.nodesDigest = Relays::digest(here);
  if (m.nodesDigest != nodesDigest_) {
    nodesDigest_ = m.nodesDigest;
    nodesTurns_ = 0;
  }
  // A list that changed goes with three heartbeats, and now and then again.
  m.carriesNodes = full || nodesTurns_ < 3 || nodesTurns_ % 16 == 0;
  if (!full) ++nodesTurns_;
  if (m.carriesNodes) m.nodes = here;
}

void ControlNode::judge() {
  health_.note(publisher_.takeTallies(), Clock::now());
  vector<WorkerHealth::RestChange> const changes =
      health_.judge(table_.all(), driver_.consensus().self().id, Clock::now());
  for (WorkerHealth::RestChange const& change : changes) {
    table_.rest(change.worker, change.resting);
    logInfo("workers", change.worker + (change.resting ? " fails more than its like and rests" : " is tried again"));
  }
  if (!changes.empty()) changed();
}

void ControlNode::listNodes() {
  TimePoint const now = Clock::now();
  std::map<string, NodeRow> all;
  for (NodeRow const& n : publisher_.heard(now)) all[n.name] = n;
  for (std::pair<NodeId const, Part> const& p : parts_)
    if (now - p.second.at <= Ms(settings_.bounds.inTouch / 2))
      for (NodeRow const& n : p.second.nodes) all.emplace(n.name, n);
  bool updated = false;
  std::set<string> zones;
  for (std::pair<string const, NodeRow> const& p : all) {
    updated = publisher_.zones[p.second.zone].put(p.first, serialize(p.second)) || updated;
    zones.insert(p.second.zone);
  }
  for (std::pair<string const, VersionedTable>& z : publisher_.zones) {
    vector<string> out;
    for (std::pair<string const, string> const& r : z.second.rows())
      if (!all.count(r.first)) out.push_back(r.first);
    for (string const& k : out) updated = z.second.erase(k) || updated;
  }
  if (updated) publisher_.changed(Ms(settings_.bounds.inTouch / 80));
}

std::optional<Address> ControlNode::registrarOf(Worker const& w) const {
  TimePoint const now = Clock::now();
  std::optional<Address> best;
  std::pair<bool, std::uint64_t> top;
  for (Member const& m : driver_.consensus().membership().members) {
    if (m.id != driver_.consensus().self().id && !driver_.consensus().isReady(m.id, now)) continue;
    std::pair<bool, std::uint64_t> const rank(m.zone == w.zone, hash64(hex(m.id.value), hash64(w.id)));
    if (best && rank <= top) continue;
    best = Address{m.ip, settings_.control.port};
    top = rank;
  }
  return best;
}

}  // namespace tealshelf
