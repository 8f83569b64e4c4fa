#pragma once
#include "consensus/consensus.hpp"
#include "fleet/nodes.hpp"
#include "rollouts/version_evidence.hpp"

/// RPC messages between control nodes.
namespace tealshelf {

/// Carries messages between the consensus state machines.
struct ConsensusMessages {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::consensusMessages;
  vector<Message> messages;
  MSGPACK_DEFINE(messages)
};

/// Echoes the clock reading of a heartbeat to its sender.
struct HeartbeatReply {
  NodeId from;
  ProcessTime sentAt;
  MSGPACK_DEFINE(from, sentAt)
};

/// A heartbeat together with other state that control nodes exchange: the membership if the receiver's is older, and
/// changes of workers and data-plane nodes.
struct HeartbeatMessage {
  using Reply = HeartbeatReply;
  static constexpr RpcMethod method = RpcMethod::heartbeat;
  Heartbeat heartbeat;
  Membership membership;
  vector<Worker> workers;
  bool wholeRegistry = false;        ///< `workers` is the whole registry; set only by releases before 0.2
  std::uint64_t registryDigest = 0;  ///< of the worker registry, to detect missed changes; 0 if not sent
  std::uint64_t nodesDigest = 0;     ///< of the data-plane nodes that poll the sender
  bool carriesNodes = false;
  vector<DataNode> nodes;
  vector<WorkerTally> tallies;  ///< recent request failures of workers, as reported by nodes that poll the sender
  /// What the sender's subscribers reported on the versions of services with a rollout, since the rollout began.
  vector<VersionTally> versionTallies;
  /// Digest of the applications' tallies on the sender's disk; 0 if not sent.
  std::uint64_t tallyDigest = 0;
  std::int64_t wallMs = 0;  ///< the sender's wall clock in milliseconds since 1970; 0 if not sent
  /// For how long the sender hasn't reached the platform; negative if not sent.
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

/// Asks a seed for its identity and the membership that it knows; sent while this node knows no membership.
struct Hello {
  using Reply = HelloReply;
  static constexpr RpcMethod method = RpcMethod::hello;
  Member self;
  MSGPACK_DEFINE(self)
};

struct CopyReply {
  Member source;  ///< the replying node, as a member of this membership or a voter of the previous one
  DiskCopy keyspaces;
  MSGPACK_DEFINE(source, keyspaces)
};

/// Asks for all keyspaces; the reply leaves out the entries of those whose digest matches the requester's.
struct CopyRequest {
  using Reply = CopyReply;
  static constexpr RpcMethod method = RpcMethod::copyAll;
  MembershipNumber membership;
  std::map<string, std::uint64_t> digests;  ///< by keyspace
  MSGPACK_DEFINE(membership, digests)
};

struct HeldKeyspacesReply {
  NodeId from;
  vector<string> held;  ///< those of the request of which the replying node stores entries
  MSGPACK_DEFINE(from, held)
};

/// Asks a voting member of which keyspaces it stores entries. It rejects the call under another membership.
struct FindHeldKeyspaces {
  using Reply = HeldKeyspacesReply;
  static constexpr RpcMethod method = RpcMethod::findHeldKeyspaces;
  MembershipNumber membership;
  vector<string> keyspaces;
  MSGPACK_DEFINE(membership, keyspaces)
};

/// Asks for a change of the membership; forwarded to the owner of the members keyspace.
struct MembershipChangeRequest {
  using Reply = Acknowledgement;
  static constexpr RpcMethod method = RpcMethod::join;
  Member member;
  int hops = 0;
  bool isRemoval = false;
  MembershipNumber copiedUnder;  ///< see MembershipChange
  MSGPACK_DEFINE(member, hops, isRemoval, copiedUnder)
};

}  // namespace tealshelf
