#pragma once
#include "fleet/nodes.hpp"

/// Lots as they are recorded, and calls about their replicated segments. What is stored: docs/formats.md.
namespace tealshelf {

/// A lot is accepted by the control plane only after its replicas hold it; ended lots list nothing more.
enum class LotState : int { opening = 0, accepted = 1, ended = 2 };

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::LotState)
namespace tealshelf {

/// Names a lot: the host of its route, and the id that its client gave it.
struct LotKey {
  string host, id;
  auto operator<=>(LotKey const&) const = default;
};

/// The id under which a tenant's lot is recorded: its own, behind the tenant's name, so that the ids of tenants never
/// meet and none can find another's lot. Without a tenant it is the client's own id.
string scopedLotId(string_view tenant, string_view id);

/// A lot as its coordinator records it. Its two segments, items and results, carry one stamp.
struct LotRecord {
  string id, host, route, service;
  std::uint64_t tokens = 0, itemCount = 0, tries = 1;
  std::int64_t submittedAtMs = 0;  ///< by the time of day, of the coordinator
  std::int64_t keepForMs = 0, dueInMs = 0;
  LotState state = LotState::opening;
  GenerationStamp stamp;
  vector<StoreRef> holders;  ///< the first is the primary
  /// Stamp under which the last result was listed; 0 until the lot is sealed. A sealed lot never changes: every intact
  /// replica at or above this stamp holds all its results, and any holder answers reads.
  GenerationStamp sealedStamp;
  std::uint64_t sealedResults = 0;  ///< results that a sealed lot lists
  string tenant;                    ///< that handed it in; "" where the configuration named no tenants
  LotKey key() const { return {host, id}; }
  bool isHeldBy(NodeId store) const;
  bool isSealed() const { return sealedStamp.value != 0; }
  /// The lowest stamp of a replica that the record counts.
  GenerationStamp lowestReplicaStamp() const { return isSealed() ? sealedStamp : stamp; }
  MSGPACK_DEFINE(id, host, route, service, tokens, itemCount, tries, submittedAtMs, keepForMs, dueInMs, state, stamp,
                 holders, sealedStamp, sealedResults, tenant)
};

/// A replica of a lot under one stamp.
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

/// One item of a lot, as its client handed it in.
struct ItemRecord {
  string id, path, body;
  vector<HeaderField> headers;
  std::uint64_t tokens = 0;
  MSGPACK_DEFINE(id, path, body, headers, tokens)
};

/// The result of one item.
struct ResultRecord {
  std::uint32_t item = 0;  ///< index among the lot's items
  bool finished = false;   ///< false if the item was given up
  string text;
  MSGPACK_DEFINE(item, finished, text)
};

/// Puts a lot on a holder; the primary passes it on to the others.
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
  vector<bool> accepted;  ///< in the order of the parts
  MSGPACK_DEFINE(accepted)
};

/// Adds results to replicas of several lots.
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
  NodeId self;  ///< the disk that answers
  MSGPACK_DEFINE(known, stamp, results, self)
};

/// Recovery: asks for stamp and length of a replica, and stops appends to it until a fresh stamp comes.
struct InspectReplica {
  using Reply = InspectReplicaReply;
  static constexpr RpcMethod method = RpcMethod::inspectReplica;
  string host, lot;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot)
};

/// Recovery: gives a replica a fresh stamp and cuts its results to a length.
struct SettleReplica {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::settleReplica;
  string host, lot;
  GenerationStamp oldStamp, newStamp;
  std::uint64_t length = 0;
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, oldStamp, newStamp, length)
};

/// Asks a store to copy a lot from another. The copy bears the stamp of the record, the source an older one.
struct CopyReplica {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::copyReplica;
  LotRecord lot;
  Address source;
  GenerationStamp minSourceStamp;  ///< the lowest stamp that the source may have
  std::uint64_t results = 0;       ///< how many results the copy has; a source with fewer is refused
  MSGPACK_DEFINE(lot, source, minSourceStamp, results)
};

/// Reads a whole replica, for a copy.
struct FetchReplica {
  using Reply = CreateReplica;
  static constexpr RpcMethod method = RpcMethod::fetchReplica;
  string host, lot;
  GenerationStamp stamp;
  bool allowNewerStamp = false;  ///< a replica above the stamp does too
  LotKey key() const { return {host, lot}; }
  MSGPACK_DEFINE(host, lot, stamp, allowNewerStamp)
};

struct ConfirmReplicasReply {
  NodeId self;                ///< the disk that answers: another may have come to its address
  std::uint64_t process = 0;  ///< the process that answers
  vector<bool> held;          ///< intact, synced and under the stamp asked for, in the order of the question
  MSGPACK_DEFINE(self, process, held)
};

/// Asks a store which replicas it holds, intact and synced, in its present process.
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

/// Reads listed results from the primary, of a sealed lot from any holder; held until there is one, but no longer than
/// asked.
struct ReadResults {
  using Reply = ReadResultsReply;
  static constexpr RpcMethod method = RpcMethod::readResults;
  string host, lot;
  GenerationStamp stamp;
  std::uint64_t from = 0, maxBytes = 0;
  std::int64_t holdMs = 0;
  bool sealed = false;              ///< the lot is sealed under this stamp, so that any replica at or above it answers
  std::uint64_t sealedResults = 0;  ///< how many results it lists then
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
