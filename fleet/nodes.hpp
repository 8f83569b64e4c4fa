#pragma once
#include "wire/rpc.hpp"

/// Workers, data-plane nodes and stores as all parts of the system name them.
namespace tealshelf {

/// A worker as the register knows it.
struct Worker {
  string id, service, zone, version;
  Address at;
  std::uint64_t capacity = 1, callCount = 0;
  bool draining = false, gone = false;
  std::int64_t warmupLeft = 0;
  bool lost = false;       ///< its beats are missing, by the word of the control node that heard them
  NodeId registrar;        ///< the control node that hears its beats
  bool resting = false;    ///< it fails more than its like, whatever its health answers: used last
  std::uint64_t turn = 0;  ///< rises with each change of that
  MSGPACK_DEFINE(id, service, zone, version, at, capacity, callCount, draining, gone, warmupLeft, lost, registrar,
                 resting, turn)
};

/// How requests at a worker went, as seen by those who sent them.
struct WorkerTally {
  string id;
  double ok = 0, bad = 0;
  MSGPACK_DEFINE(id, ok, bad)
};

/// A data-plane node as the others know it; it may relay updates.
struct NodeRow {
  string name, zone, role;
  Address at;             ///< where it serves updates
  std::uint32_t cpu = 0;  ///< its processor share in thousandths of a core
  bool operator==(NodeRow const&) const = default;
  MSGPACK_DEFINE(name, zone, role, at, cpu)
};

/// A store machine that holds replicas.
struct StoreRef {
  NodeId id;
  string name, zone;
  Address at;
  bool operator==(StoreRef const&) const = default;
  MSGPACK_DEFINE(id, name, zone, at)
};

}  // namespace tealshelf
