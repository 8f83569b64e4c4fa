#pragma once
#include "consensus/heartbeat.hpp"

namespace tealshelf {

/// Tells which nodes this node is in contact with, from heartbeats and their echoes; no input or output of its own.
///
/// Contact is dated by this node's own clock readings that came back in an echo, never by arrivals: a packet may have
/// been held back for any time. So a contact at time t proves that the peer received something sent at t.
class ContactTracker {
 public:
  /// `processId` must differ from that of every earlier process of this node. A contact older than `expiry` doesn't
  /// count.
  ContactTracker(NodeId self, std::uint64_t processId, Ms expiry)
      : self_(self), processId_(processId), expiry_(expiry) {}

  /// Takes a heartbeat in. False if a later one of the same process overtook it, so that it says nothing new.
  bool receive(Heartbeat const& heartbeat, TimePoint now);
  /// Takes a clock reading of this node that a peer sent back.
  void receiveEcho(NodeId from, ProcessTime const& sentAt, TimePoint now);
  /// Notes that this process runs; one that slept can't tell who was silent meanwhile.
  void recordTick(TimePoint now);

  /// True if a node is in contact with this one and with a majority of the members.
  bool isAlive(NodeId node, Membership const& membership, TimePoint now) const;
  /// The latest time at which this node sent what a majority, itself included, is known to have received; TimePoint()
  /// if there is none.
  TimePoint majorityContact(Membership const& membership, TimePoint now) const;
  /// How long neither this node nor any node that it hears has heard a node, as far as this process was awake to tell.
  Ms silentFor(NodeId node, TimePoint now) const;

  ProcessTime clockReading(TimePoint now) const { return {processId_, now.time_since_epoch().count()}; }
  /// The echoes for the next heartbeat.
  vector<Echo> echoes(TimePoint now) const;
  /// The last heartbeat of a node, or null.
  Heartbeat const* lastHeartbeat(NodeId node) const;
  /// Forgets all contacts, for tests that decide who hears whom.
  void reset(TimePoint runningSince, TimePoint now);

 private:
  struct Peer {
    TimePoint lastArrival;
    TimePoint lastContact;  ///< the latest own clock reading that the peer sent back
    Heartbeat heartbeat;
  };

  NodeId self_;
  std::uint64_t processId_;
  Ms expiry_;
  std::map<NodeId, Peer> peers_;
  std::map<NodeId, TimePoint> lastHeard_;  ///< when a node was last heard, here or by a peer
  TimePoint runningSince_, lastTick_;
};

}  // namespace tealshelf
