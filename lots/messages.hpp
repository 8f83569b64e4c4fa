#pragma once
#include "consensus/membership.hpp"
#include "segments/messages.hpp"

/// RPC messages between edge nodes, stores and the control node that coordinates a lot.
namespace tealshelf {

struct OpenLotReply {
  bool alreadyAccepted = false;
  LotRecord lot;
  MSGPACK_DEFINE(alreadyAccepted, lot)
};

/// Registers a new lot: the coordinator chooses the stores that hold it and assigns a generation stamp.
struct OpenLot {
  using Reply = OpenLotReply;
  static constexpr RpcMethod method = RpcMethod::openLot;
  LotRecord lot;
  std::uint64_t maxQueuedTokens = 0;
  int hops = 0;
  vector<NodeId> excluded;  ///< stores that failed an earlier attempt
  std::uint64_t itemBytes = 0;
  MSGPACK_DEFINE(lot, maxQueuedTokens, hops, excluded, itemBytes)
};

/// Marks a lot as accepted after its holders have synced it under the given stamp.
struct AcceptLot {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::acceptLot;
  string host, lot;
  GenerationStamp stamp;
  int hops = 0;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, hops)
};

struct FindLotReply {
  bool known = false;
  LotRecord lot;
  MSGPACK_DEFINE(known, lot)
};

/// Looks up the record of an accepted or ended lot.
struct FindLot {
  using Reply = FindLotReply;
  static constexpr RpcMethod method = RpcMethod::findLot;
  string host, lot;
  int hops = 0;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, hops)
};

/// Marks a lot as ended; the reply holds the record.
struct EndLot {
  using Reply = FindLotReply;
  static constexpr RpcMethod method = RpcMethod::endLot;
  string host, lot;
  int hops = 0;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, hops)
};

/// Progress of a lot as its primary reports it. Listed results are those that readers can see.
struct LotProgress {
  string host, lot;
  GenerationStamp stamp;
  std::uint64_t finishedTokens = 0, listedResults = 0;
  bool final = false;  ///< no more results will be listed
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, finishedTokens, listedResults, final)
};

/// Disk space for replicas on a store, in bytes. All fields are 0 if the store doesn't report its load.
struct StoreLoad {
  std::uint64_t used = 0;            ///< by the present replicas
  std::uint64_t expectedGrowth = 0;  ///< estimate for results that are still to be written
  std::uint64_t limit = 0;           ///< maximum for all replicas together
  bool isReported() const { return limit != 0; }
  MSGPACK_DEFINE(used, expectedGrowth, limit)
};

/// A store's report that a holder of a lot failed, or, if the store names itself, that its own replica isn't usable
/// until the lot is recovered under a new stamp.
struct HolderFailure {
  string host, lot;
  GenerationStamp stamp;
  NodeId holder;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, holder)
};

struct StoreHeartbeatReply {
  bool granted = false;       ///< this control node renewed the lease; it is valid once a majority did
  bool fenced = false;        ///< the lease is never granted again; the store must ask for a higher one
  std::uint64_t process = 0;  ///< random id of the control node's process, within which revisions are comparable
  std::uint64_t revision = 0;
  vector<LotRecord> lots;                ///< changed since the revision in the request
  vector<ReplicaVersion> staleReplicas;  ///< to be deleted, each with the stamp up to which it is stale
  vector<string> ownedKeyspaces;         ///< by this control node
  vector<Member> members;
  std::uint64_t fencedUpTo = 0;  ///< highest lease of the store that is fenced
  MSGPACK_DEFINE(granted, fenced, process, revision, lots, staleReplicas, ownedKeyspaces, members, fencedUpTo)
};

/// Sent periodically by each store to every control node: renews the store's lease, reports progress and failures of
/// lots, and fetches changed records.
struct StoreHeartbeat {
  using Reply = StoreHeartbeatReply;
  static constexpr RpcMethod method = RpcMethod::storeHeartbeat;
  StoreRef self;
  std::uint64_t lease = 0;
  std::uint64_t process = 0, revision = 0;  ///< from the last reply
  bool countsAsLoss = false;
  vector<LotProgress> progress;
  vector<ReplicaVersion> replicas;
  vector<HolderFailure> failures;
  bool leaving = false;
  bool diskFailing = false;  ///< the disk rejects writes: replicas stay readable, but no new ones can be stored
  StoreLoad load;
  MSGPACK_DEFINE(self, lease, process, revision, countsAsLoss, progress, replicas, failures, leaving, diskFailing, load)
};

/// Asks a control node to fence the current lease of a store, so that it is never granted again.
struct FenceStore {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::fenceStore;
  NodeId store;
  MSGPACK_DEFINE(store)
};

struct CountRelyingLotsReply {
  std::uint64_t lots = 0;
  MSGPACK_DEFINE(lots)
};

/// Asks the owner of a host's keyspace how many of its lots still depend on a store.
struct CountRelyingLots {
  using Reply = CountRelyingLotsReply;
  static constexpr RpcMethod method = RpcMethod::countRelyingLots;
  string host, store;
  int hops = 0;
  MSGPACK_DEFINE(host, store, hops)
};

}  // namespace tealshelf
