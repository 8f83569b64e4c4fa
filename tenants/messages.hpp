#pragma once
#include "wire/rpc.hpp"

/// Calls by which data-plane nodes have requests counted against limits that all nodes share.
namespace tealshelf {

/// What came of a question for a credit.
enum class CreditVerdict : int {
  granted = 0,
  exhausted = 1,   ///< the shard's part of the limit is used up
  notCounting = 2  ///< the node doesn't count for this subject now: not a member, without a majority, or too new
};

/// What a limit that all nodes share belongs to.
enum class CreditKind : int {
  tenant = 0,  ///< the requests of one tenant
  warmUp = 1   ///< the requests that one worker gets while it warms up
};

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::CreditVerdict)
MSGPACK_ADD_ENUM(tealshelf::CreditKind)
namespace tealshelf {

struct TakeCreditReply {
  CreditVerdict verdict = CreditVerdict::notCounting;
  std::int64_t retryAfterMs = 0;  ///< when exhausted: it is no use to ask again sooner
  MSGPACK_DEFINE(verdict, retryAfterMs)
};

/// Asks a shard to let one request through.
struct TakeCredit {
  using Reply = TakeCreditReply;
  static constexpr RpcMethod method = RpcMethod::takeCredit;
  string subject;  ///< the name of a tenant, or the id of a worker
  CreditKind kind = CreditKind::tenant;
  MSGPACK_DEFINE(subject, kind)
};

}  // namespace tealshelf
