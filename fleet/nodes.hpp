#pragma once
#include "wire/rpc.hpp"

/// Records that describe workers, data-plane nodes and store nodes to all parts of the system.
namespace tealshelf {

/// A worker as the registry knows it.
struct Worker {
  string id, service, zone, version;
  Address address;
  std::uint64_t capacity = 1;
  std::uint64_t heartbeatSequence = 0;  ///< incremented by the worker with each heartbeat; reveals late ones
  bool draining = false;
  bool removed = false;  ///< the worker announced its end
  std::int64_t warmupLeftMs = 0;
  bool lost = false;                   ///< its registrar no longer receives its heartbeats
  NodeId registrar;                    ///< the control node that receives its heartbeats
  bool ejected = false;                ///< fails more requests than its peers; used only as a last resort
  std::uint64_t ejectionRevision = 0;  ///< incremented with each change of `ejected`
  bool warmingUp = false;              ///< according to its last heartbeat
  /// Revision of its zone's evacuation that its registrar knew when it received the last heartbeat.
  std::uint64_t evacuationRevision = 0;
  MSGPACK_DEFINE(id, service, zone, version, address, capacity, heartbeatSequence, draining, removed, warmupLeftMs,
                 lost, registrar, ejected, ejectionRevision, warmingUp, evacuationRevision)
};

/// Outcomes of the requests sent to a worker, counted by the senders.
struct WorkerTally {
  string worker;
  double succeeded = 0, failed = 0;
  MSGPACK_DEFINE(worker, succeeded, failed)
};

/// Roles of data-plane nodes.
constexpr string_view edgeRole = "edge", storeRole = "store";

/// A data-plane node as published to the others; it may relay updates.
struct DataNode {
  string name, zone, role;
  Address address;                   ///< where it serves updates
  std::uint32_t cpuThousandths = 0;  ///< its CPU allocation
  /// Highest rollout revision that the node applies, and highest one up to which none of its requests runs at an
  /// excluded version.
  std::uint64_t rolloutConfirmed = 0, rolloutDrained = 0;
  bool operator==(DataNode const&) const = default;
  MSGPACK_DEFINE(name, zone, role, address, cpuThousandths, rolloutConfirmed, rolloutDrained)
};

/// A store node that holds replicas.
struct StoreRef {
  NodeId id;
  string name, zone;
  Address address;
  bool operator==(StoreRef const&) const = default;
  MSGPACK_DEFINE(id, name, zone, address)
};

inline bool containsStore(vector<StoreRef> const& stores, NodeId store) {
  return std::any_of(stores.begin(), stores.end(), [store](StoreRef const& other) { return other.id == store; });
}

}  // namespace tealshelf
