#pragma once
#include "consensus/consensus.hpp"
#include "fleet/nodes.hpp"
#include "rollouts/version_evidence.hpp"

/// Calls between control nodes.
namespace tealshelf {

/// Carries messages of the state machine.
struct ConsensusMessages {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::consensusMessages;
  vector<Message> messages;
  MSGPACK_DEFINE(messages)
};

/// Brings the sender of a heartbeat its own clock reading back.
struct HeartbeatReply {
  NodeId from;
  ProcessTime sentAt;
  MSGPACK_DEFINE(from, sentAt)
};

/// A heartbeat with what control nodes tell each other beside it: the membership if the receiver's is older, and news
/// of workers and data-plane nodes.
struct HeartbeatMessage {
  using Reply = HeartbeatReply;
  static constexpr RpcMethod method = RpcMethod::heartbeat;
  Heartbeat heartbeat;
  Membership membership;
  vector<Worker> workers;
  bool wholeRegistry = false;        ///< all workers are carried; only releases before 0.2 say so
  std::uint64_t registryDigest = 0;  ///< of the registry of workers, so that a gap is noticed; 0 if it isn't told
  std::uint64_t nodesDigest = 0;     ///< of the data-plane nodes that ask at this control node
  bool carriesNodes = false;
  vector<DataNode> nodes;
  vector<WorkerTally> tallies;  ///< of workers that failed requests lately, by who asks at this control node
  /// What this node's subscribers told of the versions of services with a rollout, since it began.
  vector<VersionTally> versionTallies;
  /// Of what the sender has of the applications' tallies on its disk; 0 if it isn't told.
  std::uint64_t tallyDigest = 0;
  std::int64_t wallMs = 0;  ///< the sender's time of day in milliseconds since 1970; 0 if it isn't told
  /// For how long the sender hasn't reached the platform; below 0 if it isn't told.
  std::int64_t platformSilenceMs = -1;
  MSGPACK_DEFINE(heartbeat, membership, workers, wholeRegistry, registryDigest, nodesDigest, carriesNodes, nodes,
                 tallies, versionTallies, tallyDigest, wallMs, platformSilenceMs)
};

struct HelloReply {
  Member self;
  Membership membership;
  bool mayBootstrap = false, hasDisk = false, holdsAllKeys = false;
  MSGPACK_DEFINE(self, membership, mayBootstrap, hasDisk, holdsAllKeys)
};

/// Asks a seed who it is, before the first membership.
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

/// Asks for all keys; what the asker holds of them already, by digest, is left out.
struct CopyRequest {
  using Reply = CopyReply;
  static constexpr RpcMethod method = RpcMethod::copyAll;
  MembershipNumber membership;
  std::map<string, std::uint64_t> digests;  ///< by keyspace
  MSGPACK_DEFINE(membership, digests)
};

/// Asks for a change of the membership; handed on to the owner of its keyspace.
struct MembershipChangeRequest {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::join;
  Member who;
  int hops = 0;
  bool leaves = false;
  MembershipNumber copiedUnder;  ///< see MembershipChange
  MSGPACK_DEFINE(who, hops, leaves, copiedUnder)
};

}  // namespace tealshelf
