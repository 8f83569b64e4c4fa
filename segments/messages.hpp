#pragma once
#include "fleet/nodes.hpp"

/// Lots as they are recorded, and messages about their replicated segments.
namespace tealshelf {

enum class LotState : int { taking = 0, accepted = 1, ended = 2 };

/// A lot as its coordinator records it; its two segments carry one stamp.
struct LotRecord {
  string id, host, route, service;
  std::uint64_t tokens = 0, total = 0, tries = 1;
  std::int64_t sentAt = 0, keepFor = 0, dueIn = 0;
  int state = 0;
  GenerationStamp stamp;
  vector<StoreRef> holders;  ///< the first is the primary
  MSGPACK_DEFINE(id, host, route, service, tokens, total, tries, sentAt, keepFor, dueIn, state, stamp, holders)
};

/// A replica that a store holds.
struct ReplicaMark {
  string host, id;
  GenerationStamp stamp;
  MSGPACK_DEFINE(host, id, stamp)
};

struct ItemRecord {
  string id, path, body;
  vector<std::pair<string, string>> heads;
  std::uint64_t tokens = 0;
  MSGPACK_DEFINE(id, path, body, heads, tokens)
};

struct ResultRecord {
  std::uint32_t item = 0;
  bool finished = false;
  string text;
  MSGPACK_DEFINE(item, finished, text)
};

/// Puts a lot's items on a holder; the primary passes them on to the others.
struct SegCreate {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::createReplica;
  LotRecord lot;
  string items;
  vector<string> results;
  bool pass = false;
  MSGPACK_DEFINE(lot, items, results, pass)
};

struct SegAppendReply {
  vector<bool> ok;
  MSGPACK_DEFINE(ok)
};

struct SegAppend {
  using Reply = SegAppendReply;
  static constexpr RpcMethod method = RpcMethod::appendResults;
  struct Part {
    string host, id;
    GenerationStamp stamp;
    std::uint64_t from = 0;
    vector<string> records;
    MSGPACK_DEFINE(host, id, stamp, from, records)
  };
  vector<Part> parts;
  MSGPACK_DEFINE(parts)
};

struct SegInspectReply {
  bool known = false;
  GenerationStamp stamp;
  std::uint64_t results = 0;
  MSGPACK_DEFINE(known, stamp, results)
};

struct SegInspect {
  using Reply = SegInspectReply;
  static constexpr RpcMethod method = RpcMethod::inspectReplica;
  string host, id;
  MSGPACK_DEFINE(host, id)
};

/// Gives a replica a fresh stamp and cuts its results.
struct SegSettle {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::settleReplica;
  string host, id;
  GenerationStamp old, stamp;
  std::uint64_t cut = 0;
  MSGPACK_DEFINE(host, id, old, stamp, cut)
};

/// Asks a store to copy a lot from another under a stamp.
struct SegCopy {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::copyReplica;
  LotRecord lot;
  Address from;
  MSGPACK_DEFINE(lot, from)
};

struct SegFetch {
  using Reply = SegCreate;
  static constexpr RpcMethod method = RpcMethod::fetchReplica;
  string host, id;
  GenerationStamp stamp;
  MSGPACK_DEFINE(host, id, stamp)
};

/// What a store answers of the replicas it is asked about, each in the order of the question.
struct SegConfirmReply {
  NodeId self;             ///< the disk that answers: another may have come to its address
  std::uint64_t life = 0;  ///< the life of the process that answers
  vector<bool> held;       ///< whole, synced and under the stamp asked for
  MSGPACK_DEFINE(self, life, held)
};

/// Asks a store which replicas it holds, whole and synced, in its present life.
struct SegConfirm {
  using Reply = SegConfirmReply;
  static constexpr RpcMethod method = RpcMethod::confirmReplicas;
  vector<ReplicaMark> replicas;
  MSGPACK_DEFINE(replicas)
};

struct SegReadReply {
  std::uint64_t total = 0;
  vector<ResultRecord> outputs;
  vector<string> ids;
  MSGPACK_DEFINE(total, outputs, ids)
};

struct SegRead {
  using Reply = SegReadReply;
  static constexpr RpcMethod method = RpcMethod::readResults;
  string host, id;
  GenerationStamp stamp;
  std::uint64_t from = 0, most = 0;
  std::int64_t holdMs = 0;
  MSGPACK_DEFINE(host, id, stamp, from, most, holdMs)
};

struct SegItemReply {
  bool known = false, listed = false;
  string body;
  MSGPACK_DEFINE(known, listed, body)
};

struct SegItem {
  using Reply = SegItemReply;
  static constexpr RpcMethod method = RpcMethod::readItem;
  string host, id, item;
  GenerationStamp stamp;
  MSGPACK_DEFINE(host, id, item, stamp)
};

}  // namespace tealshelf
