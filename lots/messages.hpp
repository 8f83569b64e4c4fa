#pragma once
#include "consensus/consensus.hpp"
#include "segments/messages.hpp"

/// Messages between edge nodes, stores and the coordinator of a lot.
namespace tealshelf {

struct LotOpenReply {
  bool taken = false;
  LotRecord lot;
  MSGPACK_DEFINE(taken, lot)
};

struct LotOpen {
  using Reply = LotOpenReply;
  static constexpr RpcMethod method = RpcMethod::openLot;
  LotRecord lot;
  std::uint64_t most = 0;
  int hops = 0;
  vector<NodeId> bar;  ///< stores that failed a try before
  MSGPACK_DEFINE(lot, most, hops, bar)
};

struct LotAccept {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::acceptLot;
  string host, id;
  GenerationStamp stamp;
  int hops = 0;
  MSGPACK_DEFINE(host, id, stamp, hops)
};

struct LotFindReply {
  bool known = false;
  LotRecord lot;
  MSGPACK_DEFINE(known, lot)
};

struct LotFind {
  using Reply = LotFindReply;
  static constexpr RpcMethod method = RpcMethod::findLot;
  string host, id;
  int hops = 0;
  MSGPACK_DEFINE(host, id, hops)
};

struct LotEnd {
  using Reply = LotFindReply;
  static constexpr RpcMethod method = RpcMethod::endLot;
  string host, id;
  int hops = 0;
  MSGPACK_DEFINE(host, id, hops)
};

/// How far a lot has come, told by its primary.
struct LotProgress {
  string host, id;
  GenerationStamp stamp;
  std::uint64_t doneTokens = 0, done = 0;
  MSGPACK_DEFINE(host, id, stamp, doneTokens, done)
};

/// A primary's word that a holder fails a lot, or that it must be settled anew itself.
struct Complaint {
  string host, id;
  GenerationStamp stamp;
  NodeId about;
  MSGPACK_DEFINE(host, id, stamp, about)
};

struct StoreBeatReply {
  bool ok = false, fenced = false;
  std::uint64_t life = 0, rev = 0;
  vector<LotRecord> lots;     ///< changed since the version asked with
  vector<ReplicaMark> drops;  ///< stale replicas to delete, with the stamp up to which
  vector<string> owned;       ///< keyspaces that this control node owns
  vector<Member> members;
  std::uint64_t fencedUpTo = 0;  ///< highest lease of the store that is never granted again
  MSGPACK_DEFINE(ok, fenced, life, rev, lots, drops, owned, members, fencedUpTo)
};

struct StoreBeat {
  using Reply = StoreBeatReply;
  static constexpr RpcMethod method = RpcMethod::storeHeartbeat;
  StoreRef self;
  std::uint64_t lease = 0, life = 0, rev = 0;
  bool counts = false;
  vector<LotProgress> progress;
  vector<ReplicaMark> marks;
  vector<Complaint> complaints;
  bool leaving = false;
  bool refusing = false;  ///< its disk takes no writes: it can be read, but holds nothing new
  MSGPACK_DEFINE(self, lease, life, rev, counts, progress, marks, complaints, leaving, refusing)
};

struct StoreFence {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::fenceStore;
  NodeId store;
  MSGPACK_DEFINE(store)
};

/// Asks the owner of a keyspace how many lots rely on a store.
struct RelyCountReply {
  std::uint64_t lots = 0;
  MSGPACK_DEFINE(lots)
};

struct RelyCount {
  using Reply = RelyCountReply;
  static constexpr RpcMethod method = RpcMethod::countRelyingLots;
  string host, store;
  int hops = 0;
  MSGPACK_DEFINE(host, store, hops)
};

}  // namespace tealshelf
