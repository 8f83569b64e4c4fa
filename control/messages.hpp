#pragma once
#include "fleet/nodes.hpp"
#include "tallies/tally_add.hpp"

/// Messages between control nodes that forward calls of workers and operators and compare registries of workers.
namespace tealshelf {

/// Reply to a call of a worker or an operator.
struct CallReply {
  int status = 200;
  string body;
  /// Of an addition to a tally: a table with these sequence numbers includes it. Of a read: what the answer includes,
  /// for each origin that was required. Releases before this field leave it out.
  VersionVector additions = {};
  MSGPACK_DEFINE(status, body, additions)
};

/// A call of a worker or an operator, forwarded to the owner of its keyspace.
struct ForwardedCall {
  using Reply = CallReply;
  static constexpr RpcMethod method = RpcMethod::forwardCall;
  string verb, path, ifMatch, body;
  int hops = 0;
  std::int64_t budgetMs = 0;             ///< time that remains for the reply
  VersionVector requiredAdditions = {};  ///< of a read of a tally: what the forwarding node has acknowledged
  MSGPACK_DEFINE(verb, path, ifMatch, body, hops, budgetMs, requiredAdditions)
};

/// The buckets of a registry of workers that differ from the requester's.
struct RegistryDifference {
  bool isComplete = false;        ///< false: the sender may itself lack workers of these buckets
  vector<std::uint32_t> buckets;  ///< buckets in which the registries differ
  vector<Worker> workers;         ///< all workers of the sender in these buckets
  MSGPACK_DEFINE(isComplete, buckets, workers)
};

/// Requests the buckets that differ from the requester's registry of workers.
struct CompareRegistry {
  using Reply = RegistryDifference;
  static constexpr RpcMethod method = RpcMethod::compareRegistry;
  vector<std::uint64_t> buckets;  ///< digests of the requester's buckets, see RegistryDigest
  MSGPACK_DEFINE(buckets)
};

}  // namespace tealshelf
