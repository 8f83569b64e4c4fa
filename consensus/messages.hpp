#pragma once
#include "consensus/consensus.hpp"
#include "fleet/nodes.hpp"

/// Messages between control nodes.
namespace tealshelf {

struct ConsensusMessages {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::consensusMessages;
  vector<Message> messages;
  MSGPACK_DEFINE(messages)
};

/// Brings the sender of a heartbeat its own moment back.
struct HeartbeatReply {
  NodeId from;
  OwnMoment sent;
  MSGPACK_DEFINE(from, sent)
};

/// Tells others of oneself; carries the membership when the other's is older, and beats taken since.
struct HeartbeatMessage {
  using Reply = HeartbeatReply;
  static constexpr RpcMethod method = RpcMethod::heartbeat;
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
  static constexpr RpcMethod method = RpcMethod::hello;
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
  static constexpr RpcMethod method = RpcMethod::copyAll;
  MembershipNumber membership;
  std::map<string, std::uint64_t> digests;
  MSGPACK_DEFINE(membership, digests)
};

struct JoinRequest {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::join;
  Member self;
  int hops = 0;
  bool leave = false;
  MembershipNumber copiedUnder;  ///< the learner copied all keys from a majority under this membership
  MSGPACK_DEFINE(self, hops, leave, copiedUnder)
};

}  // namespace tealshelf
