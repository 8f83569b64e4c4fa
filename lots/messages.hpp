#pragma once
#include "consensus/membership.hpp"
#include "segments/messages.hpp"

/// Calls between edge nodes, stores and the coordinator of a lot.
namespace tealshelf {

struct OpenLotReply {
  bool alreadyAccepted = false;
  LotRecord lot;
  MSGPACK_DEFINE(alreadyAccepted, lot)
};

/// Opens a lot: the coordinator picks holders and gives a stamp.
struct OpenLot {
  using Reply = OpenLotReply;
  static constexpr RpcMethod method = RpcMethod::openLot;
  LotRecord lot;
  std::uint64_t maxQueuedTokens = 0;
  int hops = 0;
  vector<NodeId> excluded;  ///< stores that failed an earlier try
  std::uint64_t itemBytes = 0;
  MSGPACK_DEFINE(lot, maxQueuedTokens, hops, excluded, itemBytes)
};

/// Accepts a lot that its holders have synced under a stamp.
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

struct FindLot {
  using Reply = FindLotReply;
  static constexpr RpcMethod method = RpcMethod::findLot;
  string host, lot;
  int hops = 0;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, hops)
};

struct EndLot {
  using Reply = FindLotReply;
  static constexpr RpcMethod method = RpcMethod::endLot;
  string host, lot;
  int hops = 0;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, hops)
};

/// How far a lot has come, told by its primary.
struct LotProgress {
  string host, lot;
  GenerationStamp stamp;
  std::uint64_t finishedTokens = 0, listedResults = 0;
  bool final = false;  ///< nothing will be listed beyond these results
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, finishedTokens, listedResults, final)
};

/// How full a store is, in bytes of replicas. All are 0 for a store that doesn't tell.
struct StoreLoad {
  std::uint64_t used = 0;            ///< by the replicas that it has
  std::uint64_t expectedGrowth = 0;  ///< what the results still to come will likely take
  std::uint64_t limit = 0;           ///< what it takes at the most
  bool tells() const { return limit != 0; }
  MSGPACK_DEFINE(used, expectedGrowth, limit)
};

/// A store's report that a holder fails a lot, or, about itself, that its own replica must be settled anew.
struct HolderFailure {
  string host, lot;
  GenerationStamp stamp;
  NodeId holder;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, holder)
};

struct StoreHeartbeatReply {
  bool granted = false;  ///< the lease is renewed, as far as this control node goes
  bool fenced = false;   ///< the lease is never granted again; the store needs another
  std::uint64_t process = 0;
  std::uint64_t revision = 0;
  vector<LotRecord> lots;                ///< changed since the revision asked with
  vector<ReplicaVersion> staleReplicas;  ///< to be deleted, with the stamp up to which
  vector<string> ownedKeyspaces;         ///< of this control node
  vector<Member> members;
  std::uint64_t fencedUpTo = 0;  ///< highest lease of the store that is never granted again
  MSGPACK_DEFINE(granted, fenced, process, revision, lots, staleReplicas, ownedKeyspaces, members, fencedUpTo)
};

/// A store's periodic call to each control node: renews its lease and brings news of lots both ways.
struct StoreHeartbeat {
  using Reply = StoreHeartbeatReply;
  static constexpr RpcMethod method = RpcMethod::storeHeartbeat;
  StoreRef self;
  std::uint64_t lease = 0;
  std::uint64_t process = 0, revision = 0;  ///< of the last reply
  bool countsAsLoss = false;
  vector<LotProgress> progress;
  vector<ReplicaVersion> replicas;
  vector<HolderFailure> failures;
  bool leaving = false;
  bool diskFailing = false;  ///< its disk takes no writes: it can be read, but holds nothing new
  StoreLoad load;
  MSGPACK_DEFINE(self, lease, process, revision, countsAsLoss, progress, replicas, failures, leaving, diskFailing, load)
};

/// Asks a control node never to grant the present lease of a store again.
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

/// Asks the owner of a keyspace how many lots rely on a store.
struct CountRelyingLots {
  using Reply = CountRelyingLotsReply;
  static constexpr RpcMethod method = RpcMethod::countRelyingLots;
  string host, store;
  int hops = 0;
  MSGPACK_DEFINE(host, store, hops)
};

}  // namespace tealshelf
