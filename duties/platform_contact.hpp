#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Which control nodes reach the platform, as far as this one knows; no input or output of its own.
///
/// A node that hasn't reached it for a whole lease is passed over as holder of the duties while another one reached it
/// within the last half. Between the two lies room for the periods of probes and heartbeats, so that a platform that
/// is gone for all makes nobody give the duties up.
class PlatformContact {
 public:
  PlatformContact(NodeId self, Ms lease, TimePoint startedAt) : self_(self), lease_(lease), reachedAt_(startedAt) {}

  void noteReached(TimePoint now) { reachedAt_ = now; }
  /// How long ago this node last reached the platform, or started.
  Ms silence(TimePoint now) const { return std::chrono::duration_cast<Ms>(now - reachedAt_); }
  /// What another node says of itself; nothing if it doesn't say.
  void recordPeerSilence(NodeId peer, std::optional<Ms> silence, TimePoint now);
  /// The nodes to pass over as holders; none if no node is better off.
  std::set<NodeId> nodesWithoutContact(TimePoint now) const;

 private:
  struct PeerReport {
    Ms silence{0};
    TimePoint at;
  };
  NodeId self_;
  Ms lease_;
  TimePoint reachedAt_;
  std::map<NodeId, PeerReport> peers_;
};

}  // namespace tealshelf
