#pragma once
#include "wire/rpc.hpp"

/// Calls of workers and operators, handed on between control nodes.
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

}  // namespace tealshelf
