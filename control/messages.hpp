#pragma once
#include "fleet/nodes.hpp"

/// Calls between control nodes on what workers and operators told them.
namespace tealshelf {

/// Answer to a call of a worker or an operator.
struct CallReply {
  int status = 200;
  string body;
  MSGPACK_DEFINE(status, body)
};

/// A call of a worker or an operator, handed on to the owner of its keyspace.
struct ForwardedCall {
  using Reply = CallReply;
  static constexpr RpcMethod method = RpcMethod::forwardCall;
  string verb, path, ifMatch, body;
  int hops = 0;
  std::int64_t budgetMs = 0;  ///< time that is left for its answer
  MSGPACK_DEFINE(verb, path, ifMatch, body, hops, budgetMs)
};

/// The part of a registry of workers that differs from the asker's.
struct RegistryDifference {
  bool isComplete = false;        ///< false: the answerer may itself lack workers of these buckets
  vector<std::uint32_t> buckets;  ///< in which the registries differ
  vector<Worker> workers;         ///< all that the answerer has in them
  MSGPACK_DEFINE(isComplete, buckets, workers)
};

/// Asks for what differs from the asker's registry of workers.
struct CompareRegistry {
  using Reply = RegistryDifference;
  static constexpr RpcMethod method = RpcMethod::compareRegistry;
  vector<std::uint64_t> buckets;  ///< digests, see RegistryDigest
  MSGPACK_DEFINE(buckets)
};

}  // namespace tealshelf
