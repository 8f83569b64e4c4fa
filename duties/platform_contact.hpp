#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Which control nodes reach the platform, as far as this node knows; does no I/O.
///
/// A node that hasn't reached the platform for a whole lease is deprioritized as holder of the duties while another one
/// reached it within the last half lease. The gap between the two covers the periods of probes and heartbeats, so that
/// no node gives up the duties when the platform is unreachable for all.
class PlatformContact {
 public:
  PlatformContact(NodeId self, Ms lease, TimePoint startedAt) : self_(self), lease_(lease), reachedAt_(startedAt) {}

  void noteReached(TimePoint now) { reachedAt_ = now; }
  /// How long ago this node last reached the platform, or started.
  Ms silence(TimePoint now) const { return std::chrono::duration_cast<Ms>(now - reachedAt_); }
  /// Takes how long ago another node last reached the platform, by its own report; nullopt if it doesn't report it.
  void recordPeerSilence(NodeId peer, std::optional<Ms> silence, TimePoint now);
  /// The nodes to deprioritize as holders; empty if no node has reached the platform recently.
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
