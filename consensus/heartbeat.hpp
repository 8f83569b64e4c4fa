#pragma once
#include "consensus/entries.hpp"
#include "consensus/membership.hpp"

/// The periodic messages between control nodes.
namespace tealshelf {

/// A reading of the steady clock of one process; opaque to every other process.
struct ProcessTime {
  /// Identifies the process; readings of an earlier process are ignored.
  std::uint64_t process = 0;
  std::int64_t ticks = 0;
  bool operator==(ProcessTime const&) const = default;
  MSGPACK_DEFINE(process, ticks)
};

/// The latest clock reading that the sender of a heartbeat received from a node, returned to that node.
struct Echo {
  NodeId node;
  ProcessTime sentAt;
  MSGPACK_DEFINE(node, sentAt)
};

/// A node's replication progress in a keyspace.
struct KeyspaceProgress {
  string keyspace;
  Epoch epoch;
  /// Every write of the epoch up to this sequence number is applied.
  std::uint64_t applied = 0;
  std::uint64_t committed = 0;
  bool owned = false;
  bool empty = false;  ///< the sender stores no entries of the keyspace; releases before 0.2 don't send it
  MSGPACK_DEFINE(keyspace, epoch, applied, committed, owned, empty)
};

/// A node's periodic message to all others.
struct Heartbeat {
  Member sender;
  MembershipNumber membership;
  bool holdsAllKeys = false;
  ProcessTime sentAt;
  /// One for each node that the sender heard recently.
  vector<Echo> echoes;
  vector<KeyspaceProgress> keyspaces;
  /// True if the sender heard the node recently.
  bool hears(NodeId node) const;
  MSGPACK_DEFINE(sender, membership, holdsAllKeys, sentAt, echoes, keyspaces)
};

}  // namespace tealshelf
