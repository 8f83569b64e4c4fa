#pragma once
#include "wire/rpc.hpp"

/// Workers, data-plane nodes and stores as all parts of the system name them.
namespace tealshelf {

/// A worker as the registry knows it.
struct Worker {
  string id, service, zone, version;
  Address address;
  std::uint64_t capacity = 1;
  std::uint64_t heartbeatSequence = 0;  ///< rises with each of its heartbeats, so that a late one is known
  bool draining = false;
  bool removed = false;  ///< it said that it ends
  std::int64_t warmupLeftMs = 0;
  bool lost = false;                   ///< its heartbeats are missing, by the word of its registrar
  NodeId registrar;                    ///< the control node that receives its heartbeats
  bool ejected = false;                ///< it fails more than its like, whatever its health answers: used last
  std::uint64_t ejectionRevision = 0;  ///< rises with each change of `ejected`
  bool warmingUp = false;              ///< by its last heartbeat
  /// Revision of its zone's evacuation that the registrar knew when it got the last heartbeat.
  std::uint64_t evacuationRevision = 0;
  MSGPACK_DEFINE(id, service, zone, version, address, capacity, heartbeatSequence, draining, removed, warmupLeftMs,
                 lost, registrar, ejected, ejectionRevision, warmingUp, evacuationRevision)
};

/// How requests at a worker went, as seen by those who sent them.
struct WorkerTally {
  string worker;
  double succeeded = 0, failed = 0;
  MSGPACK_DEFINE(worker, succeeded, failed)
};

/// Roles of data-plane nodes.
constexpr string_view edgeRole = "edge", storeRole = "store";

/// A data-plane node as the others know it; it may relay updates.
struct DataNode {
  string name, zone, role;
  Address address;                   ///< where it serves updates
  std::uint32_t cpuThousandths = 0;  ///< its processor share in thousandths of a core
  /// Highest revision of rollouts that the node goes by, and up to which nothing runs here at a version excluded since.
  std::uint64_t rolloutConfirmed = 0, rolloutDrained = 0;
  bool operator==(DataNode const&) const = default;
  MSGPACK_DEFINE(name, zone, role, address, cpuThousandths, rolloutConfirmed, rolloutDrained)
};

/// A store machine that holds replicas.
struct StoreRef {
  NodeId id;
  string name, zone;
  Address address;
  bool operator==(StoreRef const&) const = default;
  MSGPACK_DEFINE(id, name, zone, address)
};

/// True if a store is among others.
inline bool containsStore(vector<StoreRef> const& stores, NodeId store) {
  return std::any_of(stores.begin(), stores.end(), [store](StoreRef const& other) { return other.id == store; });
}

}  // namespace tealshelf
