#pragma once
#include "fleet/nodes.hpp"

/// Records of lots, and the RPC messages for their replicas. A lot is a batch of requests (items) that a client submits
/// together; each result is kept beside the items. Stored formats: docs/formats.md.
namespace tealshelf {

/// A lot is accepted only once enough replicas have synced it. An ended lot gets no further results.
enum class LotState : int { opening = 0, accepted = 1, ended = 2 };

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::LotState)
namespace tealshelf {

/// Identifies a lot: the host of its route, and its id as scopedLotId gives it.
struct LotKey {
  string host, id;
  auto operator<=>(LotKey const&) const = default;
};

/// The id under which a lot is recorded: the client's id prefixed with the tenant's name, so that ids of different
/// tenants never collide and no tenant can read another's lot. Without a tenant it is the client's id unchanged.
string scopedLotId(string_view tenant, string_view id);

/// The coordinator's record of a lot. A replica's items and results share one generation stamp; a higher stamp
/// supersedes a lower one.
struct LotRecord {
  string id, host;
  string route;  ///< name of the route at the submission, for operators; other routes may share it
  string service;
  std::uint64_t tokens = 0, itemCount = 0, tries = 1;
  std::int64_t submittedAtMs = 0;  ///< wall clock of the coordinator
  std::int64_t keepForMs = 0, dueInMs = 0;
  LotState state = LotState::opening;
  GenerationStamp stamp;
  vector<StoreRef> holders;  ///< the first is the primary
  /// Stamp under which the last result was listed; 0 until the lot is sealed. A sealed lot is immutable: every intact
  /// replica at or above this stamp holds all its results, so any holder can answer reads.
  GenerationStamp sealedStamp;
  std::uint64_t sealedResults = 0;  ///< number of results of a sealed lot
  string tenant;                    ///< that submitted it; "" if the configuration has no tenants
  /// Path prefix of the route that the lot was submitted to, which together with `host` identifies the route; "" in
  /// records of older releases.
  string routePrefix;
  std::uint64_t configurationVersion = 0;  ///< of a configuration with that route; 0 in records of older releases
  LotKey key() const { return {host, id}; }
  bool isHeldBy(NodeId store) const;
  bool isSealed() const { return sealedStamp.value != 0; }
  /// The lowest stamp at which a replica counts as a copy of the lot.
  GenerationStamp lowestReplicaStamp() const { return isSealed() ? sealedStamp : stamp; }
  MSGPACK_DEFINE(id, host, route, service, tokens, itemCount, tries, submittedAtMs, keepForMs, dueInMs, state, stamp,
                 holders, sealedStamp, sealedResults, tenant, routePrefix, configurationVersion)
};

/// Identifies a replica of a lot at one stamp.
struct ReplicaVersion {
  string host, lot;
  GenerationStamp stamp;
  LotKey key() const { return {host, lot}; }
  auto operator<=>(ReplicaVersion const&) const = default;
  MSGPACK_DEFINE(host, lot, stamp)
};

struct HeaderField {
  string name, value;
  MSGPACK_DEFINE(name, value)
};

/// One item of a lot as submitted by the client: a request to run at a worker.
struct ItemRecord {
  string id, path, body;
  vector<HeaderField> headers;
  std::uint64_t tokens = 0;
  MSGPACK_DEFINE(id, path, body, headers, tokens)
};

/// The result of one item.
struct ResultRecord {
  std::uint32_t item = 0;  ///< index among the lot's items
  bool finished = false;   ///< false if the item failed permanently
  string text;
  MSGPACK_DEFINE(item, finished, text)
};

/// Creates a replica on a holder; the primary forwards it to the other holders.
struct CreateReplica {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::createReplica;
  LotRecord lot;
  string items;            ///< a serialized vector<ItemRecord>
  vector<string> results;  ///< serialized ResultRecords
  bool forwardToHolders = false;
  MSGPACK_DEFINE(lot, items, results, forwardToHolders)
};

struct AppendResultsReply {
  vector<bool> accepted;  ///< one per part, in order
  MSGPACK_DEFINE(accepted)
};

/// Appends results to replicas of several lots.
struct AppendResults {
  using Reply = AppendResultsReply;
  static constexpr RpcMethod method = RpcMethod::appendResults;
  struct Part {
    string host, lot;
    GenerationStamp stamp;
    std::uint64_t from = 0;  ///< position of the first record
    vector<string> records;
    LotKey key() const { return {host, lot}; }
    MSGPACK_DEFINE(host, lot, stamp, from, records)
  };
  vector<Part> parts;
  MSGPACK_DEFINE(parts)
};

struct InspectReplicaReply {
  bool known = false;
  GenerationStamp stamp;
  std::uint64_t results = 0;
  NodeId self;  ///< id of the answering store's disk
  MSGPACK_DEFINE(known, stamp, results, self)
};

/// Starts the recovery of a replica: reads its stamp and result count, and blocks appends until SettleReplica or
/// CreateReplica gives it a new stamp.
struct InspectReplica {
  using Reply = InspectReplicaReply;
  static constexpr RpcMethod method = RpcMethod::inspectReplica;
  string host, lot;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot)
};

/// Completes the recovery of a replica: gives it a new stamp and truncates its results to a common length.
struct SettleReplica {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::settleReplica;
  string host, lot;
  GenerationStamp oldStamp, newStamp;
  std::uint64_t length = 0;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, oldStamp, newStamp, length)
};

/// Asks a store to copy a replica from another store. The copy gets the record's stamp; the source may have an older
/// one.
struct CopyReplica {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::copyReplica;
  LotRecord lot;
  Address source;
  GenerationStamp minSourceStamp;  ///< sources with a lower stamp are refused
  std::uint64_t results = 0;       ///< result count of the copy; a source with fewer is refused
  MSGPACK_DEFINE(lot, source, minSourceStamp, results)
};

/// Reads a whole replica in order to copy it.
struct FetchReplica {
  using Reply = CreateReplica;
  static constexpr RpcMethod method = RpcMethod::fetchReplica;
  string host, lot;
  GenerationStamp stamp;
  bool allowNewerStamp = false;  ///< also accept a replica with a higher stamp
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, allowNewerStamp)
};

struct ConfirmReplicasReply {
  NodeId self;                ///< id of the answering store's disk; a store with another disk may reuse the address
  std::uint64_t process = 0;  ///< id of the answering process
  vector<bool> held;          ///< one per requested replica, in order: intact, synced, and at the stamp or above
  MSGPACK_DEFINE(self, process, held)
};

/// Asks a store which of these replicas it holds, intact and synced.
struct ConfirmReplicas {
  using Reply = ConfirmReplicasReply;
  static constexpr RpcMethod method = RpcMethod::confirmReplicas;
  vector<ReplicaVersion> replicas;
  MSGPACK_DEFINE(replicas)
};

struct ReadResultsReply {
  std::uint64_t total = 0;
  vector<ResultRecord> results;
  vector<string> itemIds;  ///< of the results
  MSGPACK_DEFINE(total, results, itemIds)
};

/// Reads listed results from the primary, or from any holder of a sealed lot. Long poll: the call waits up to `holdMs`
/// for a result at or after `from`. A result is listed, and so visible to clients, once all holders have synced it.
struct ReadResults {
  using Reply = ReadResultsReply;
  static constexpr RpcMethod method = RpcMethod::readResults;
  string host, lot;
  GenerationStamp stamp;
  std::uint64_t from = 0, maxBytes = 0;
  std::int64_t holdMs = 0;
  bool sealed = false;              ///< the lot is sealed at this stamp: any replica at or above it can answer
  std::uint64_t sealedResults = 0;  ///< number of results of the sealed lot
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, from, maxBytes, holdMs, sealed, sealedResults)
};

struct ReadItemReply {
  bool known = false, listed = false;
  string body;
  MSGPACK_DEFINE(known, listed, body)
};

/// Reads the body of an item from the primary.
struct ReadItem {
  using Reply = ReadItemReply;
  static constexpr RpcMethod method = RpcMethod::readItem;
  string host, lot, item;
  GenerationStamp stamp;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, item, stamp)
};

}  // namespace tealshelf
