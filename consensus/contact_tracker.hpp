#pragma once
#include "consensus/heartbeat.hpp"

namespace tealshelf {

/// Tracks which nodes this node is in contact with, from heartbeats and their echoes; does no I/O itself.
///
/// A contact has the time of this node's own clock reading that the peer echoed, never a time of arrival, as a packet
/// may be delayed for any time. A contact at time t thus proves that the peer received a heartbeat sent at t.
class ContactTracker {
 public:
  /// `processId` must differ from that of every earlier process of this node. A contact older than `expiry` doesn't
  /// count.
  ContactTracker(NodeId self, std::uint64_t processId, Ms expiry)
      : self_(self), processId_(processId), expiry_(expiry) {}

  /// Processes a heartbeat. False if a later one of the same process arrived before it; it is ignored then.
  bool receive(Heartbeat const& heartbeat, TimePoint now);
  /// Processes a clock reading of this node that a peer echoed.
  void receiveEcho(NodeId from, ProcessTime const& sentAt, TimePoint now);
  /// Records that this process is running. After a longer gap, silence is measured anew: a suspended process can't tell
  /// who was silent in the meantime.
  void recordTick(TimePoint now);

  /// True if a node is in contact with this one and with a majority of the members.
  bool isAlive(NodeId node, Membership const& membership, TimePoint now) const;
  /// The latest time t such that a majority, this node included, is known to have received a heartbeat sent at t or
  /// later; TimePoint() if there is none.
  TimePoint majorityContact(Membership const& membership, TimePoint now) const;
  /// How long neither this node nor any peer that it hears has heard a node; time before the start or the last
  /// suspension of this process doesn't count.
  Ms silentFor(NodeId node, TimePoint now) const;

  ProcessTime clockReading(TimePoint now) const { return {processId_, now.time_since_epoch().count()}; }
  /// The echoes for the next heartbeat.
  vector<Echo> echoes(TimePoint now) const;
  /// The last heartbeat of a node, or null.
  Heartbeat const* lastHeartbeat(NodeId node) const;
  /// Forgets all contacts; for tests that control which nodes hear each other.
  void reset(TimePoint runningSince, TimePoint now);

 private:
  struct Peer {
    TimePoint lastArrival;
    TimePoint lastContact;  ///< the latest clock reading of this node that the peer echoed
    Heartbeat heartbeat;
  };

  NodeId self_;
  std::uint64_t processId_;
  Ms expiry_;
  std::map<NodeId, Peer> peers_;
  std::map<NodeId, TimePoint> lastHeard_;  ///< when a node was last heard, here or by a peer
  TimePoint runningSince_;                 ///< start of this process, or its resumption after a suspension
  TimePoint lastTick_;
};

}  // namespace tealshelf
