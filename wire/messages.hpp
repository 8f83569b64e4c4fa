#pragma once
#include "consensus/consensus.hpp"
#include "wire/rpc.hpp"

namespace tealshelf {

/// A worker as the register knows it.
struct Worker {
  string id, service, zone, version;
  Addr at;
  std::uint64_t capacity = 1, callCount = 0;
  bool draining = false, gone = false;
  std::int64_t warmupLeft = 0;
  bool lost = false;       ///< its beats are missing, by the word of the control node that heard them
  Identity registrar;      ///< the control node that hears its beats
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
  Addr at;                ///< where it serves updates
  std::uint32_t cpu = 0;  ///< its processor share in thousandths of a core
  bool operator==(NodeRow const&) const = default;
  MSGPACK_DEFINE(name, zone, role, at, cpu)
};

/// A store machine that holds replicas.
struct StoreRef {
  Identity id;
  string name, zone;
  Addr at;
  bool operator==(StoreRef const&) const = default;
  MSGPACK_DEFINE(id, name, zone, at)
};

struct ConsensusMessages {
  using Reply = Done;
  static constexpr Method method = Method::consensusMessages;
  vector<Message> messages;
  MSGPACK_DEFINE(messages)
};
/// Brings the sender of a heartbeat its own moment back.
struct HeartbeatReply {
  Identity from;
  OwnMoment sent;
  MSGPACK_DEFINE(from, sent)
};
/// Tells others of oneself; carries the membership when the other's is older, and beats taken since.
struct HeartbeatMessage {
  using Reply = HeartbeatReply;
  static constexpr Method method = Method::heartbeat;
  Heartbeat heartbeat;
  Membership membership;
  vector<Worker> workers;
  bool full = false;              ///< the whole register of workers is carried
  std::uint64_t digest = 0;       ///< of the register of workers, so that a gap is seen
  std::uint64_t nodesDigest = 0;  ///< of the data-plane nodes that ask at this control node
  bool hasNodes = false;
  vector<NodeRow> nodes;
  vector<WorkerTally> tallies;  ///< of workers that failed requests lately, by who asks at this control node
  MSGPACK_DEFINE(heartbeat, membership, workers, full, digest, nodesDigest, hasNodes, nodes, tallies)
};
struct HelloReply {
  Member self;
  Membership membership;
  bool founding = false, hasDisk = false, copied = false;
  MSGPACK_DEFINE(self, membership, founding, hasDisk, copied)
};
struct Hello {
  using Reply = HelloReply;
  static constexpr Method method = Method::hello;
  Member self;
  MSGPACK_DEFINE(self)
};
struct CopyReply {
  Member source;  ///< the member that held these keys when its membership ended, or holds them now
  DiskCopy keyspaces;
  MSGPACK_DEFINE(source, keyspaces)
};
/// Asks for all keys; what the asker holds of them already (by digest) is left out.
struct CopyAll {
  using Reply = CopyReply;
  static constexpr Method method = Method::copyAll;
  MembershipNumber membership;
  std::map<string, std::uint64_t> digests;
  MSGPACK_DEFINE(membership, digests)
};
struct JoinRequest {
  using Reply = Done;
  static constexpr Method method = Method::join;
  Member self;
  int hops = 0;
  bool leave = false;
  MembershipNumber copiedUnder;  ///< the learner copied all keys from a majority under this membership
  MSGPACK_DEFINE(self, hops, leave, copiedUnder)
};

/// An answer of a resource to a worker or an operator.
struct CallReply {
  int status = 200;
  string body;
  MSGPACK_DEFINE(status, body)
};
/// A call of a worker or an operator, handed on to the owner of its keyspace.
struct ForwardCall {
  using Reply = CallReply;
  static constexpr Method method = Method::forwardCall;
  string verb, path, ifMatch, body;
  int hops = 0;
  std::int64_t budgetMs = 0;  ///< time that is left for its answer
  MSGPACK_DEFINE(verb, path, ifMatch, body, hops, budgetMs)
};

enum class LotState : int { taking = 0, accepted = 1, ended = 2 };

/// A lot as its coordinator records it; its two segments carry one stamp.
struct LotRecord {
  string id, host, route, service;
  std::uint64_t tokens = 0, total = 0, tries = 1;
  std::int64_t sentAt = 0, keepFor = 0, dueIn = 0;
  int state = 0;
  Stamp stamp;
  vector<StoreRef> holders;  ///< the first is the primary
  MSGPACK_DEFINE(id, host, route, service, tokens, total, tries, sentAt, keepFor, dueIn, state, stamp, holders)
};

struct LotOpenReply {
  bool taken = false;
  LotRecord lot;
  MSGPACK_DEFINE(taken, lot)
};
struct LotOpen {
  using Reply = LotOpenReply;
  static constexpr Method method = Method::lotOpen;
  LotRecord lot;
  std::uint64_t most = 0;
  int hops = 0;
  vector<Identity> bar;  ///< stores that failed a try before
  MSGPACK_DEFINE(lot, most, hops, bar)
};
struct LotAccept {
  using Reply = Done;
  static constexpr Method method = Method::lotAccept;
  string host, id;
  Stamp stamp;
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
  static constexpr Method method = Method::lotFind;
  string host, id;
  int hops = 0;
  MSGPACK_DEFINE(host, id, hops)
};
struct LotEnd {
  using Reply = LotFindReply;
  static constexpr Method method = Method::lotEnd;
  string host, id;
  int hops = 0;
  MSGPACK_DEFINE(host, id, hops)
};

/// How far a lot has come, told by its primary.
struct LotProgress {
  string host, id;
  Stamp stamp;
  std::uint64_t doneTokens = 0, done = 0;
  MSGPACK_DEFINE(host, id, stamp, doneTokens, done)
};
/// A replica that a store holds.
struct ReplicaMark {
  string host, id;
  Stamp stamp;
  MSGPACK_DEFINE(host, id, stamp)
};
/// A primary's word that a holder fails a lot, or that it must be settled anew itself.
struct Complaint {
  string host, id;
  Stamp stamp;
  Identity about;
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
  static constexpr Method method = Method::storeBeat;
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
  using Reply = Done;
  static constexpr Method method = Method::storeFence;
  Identity store;
  MSGPACK_DEFINE(store)
};

/// Asks the owner of a keyspace how many lots rely on a store.
struct RelyCountReply {
  std::uint64_t lots = 0;
  MSGPACK_DEFINE(lots)
};
struct RelyCount {
  using Reply = RelyCountReply;
  static constexpr Method method = Method::relyCount;
  string host, store;
  int hops = 0;
  MSGPACK_DEFINE(host, store, hops)
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
  using Reply = Done;
  static constexpr Method method = Method::segCreate;
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
  static constexpr Method method = Method::segAppend;
  struct Part {
    string host, id;
    Stamp stamp;
    std::uint64_t from = 0;
    vector<string> records;
    MSGPACK_DEFINE(host, id, stamp, from, records)
  };
  vector<Part> parts;
  MSGPACK_DEFINE(parts)
};
struct SegInspectReply {
  bool known = false;
  Stamp stamp;
  std::uint64_t results = 0;
  MSGPACK_DEFINE(known, stamp, results)
};
struct SegInspect {
  using Reply = SegInspectReply;
  static constexpr Method method = Method::segInspect;
  string host, id;
  MSGPACK_DEFINE(host, id)
};
/// Gives a replica a fresh stamp and cuts its results.
struct SegSettle {
  using Reply = Done;
  static constexpr Method method = Method::segSettle;
  string host, id;
  Stamp old, stamp;
  std::uint64_t cut = 0;
  MSGPACK_DEFINE(host, id, old, stamp, cut)
};
/// Asks a store to copy a lot from another under a stamp.
struct SegCopy {
  using Reply = Done;
  static constexpr Method method = Method::segCopy;
  LotRecord lot;
  Addr from;
  MSGPACK_DEFINE(lot, from)
};
struct SegFetch {
  using Reply = SegCreate;
  static constexpr Method method = Method::segFetch;
  string host, id;
  Stamp stamp;
  MSGPACK_DEFINE(host, id, stamp)
};
/// What a store answers of the replicas it is asked about, each in the order of the question.
struct SegConfirmReply {
  Identity self;           ///< the disk that answers: another may have come to its address
  std::uint64_t life = 0;  ///< the life of the process that answers
  vector<bool> held;       ///< whole, synced and under the stamp asked for
  MSGPACK_DEFINE(self, life, held)
};
/// Asks a store which replicas it holds, whole and synced, in its present life.
struct SegConfirm {
  using Reply = SegConfirmReply;
  static constexpr Method method = Method::segConfirm;
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
  static constexpr Method method = Method::segRead;
  string host, id;
  Stamp stamp;
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
  static constexpr Method method = Method::segItem;
  string host, id, item;
  Stamp stamp;
  MSGPACK_DEFINE(host, id, item, stamp)
};

}  // namespace tealshelf
