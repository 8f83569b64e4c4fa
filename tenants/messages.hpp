#pragma once
#include "wire/rpc.hpp"

/// RPCs by which data-plane nodes obtain credits from the control nodes that count requests against fleet-wide limits.
namespace tealshelf {

/// Result of a request for a credit.
enum class CreditVerdict : int {
  granted = 0,
  exhausted = 1,   ///< the shard's share of the limit is used up
  notCounting = 2  ///< the node doesn't count for this subject now: not a member, no majority, or takeover delay
};

/// The kind of subject that a fleet-wide limit belongs to.
enum class CreditKind : int {
  tenant = 0,  ///< the requests of one tenant
  warmUp = 1   ///< the requests sent to one worker while it warms up
};

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::CreditVerdict)
MSGPACK_ADD_ENUM(tealshelf::CreditKind)
namespace tealshelf {

struct TakeCreditReply {
  CreditVerdict verdict = CreditVerdict::notCounting;
  std::int64_t retryAfterMs = 0;  ///< if exhausted: the delay before the next request can succeed
  MSGPACK_DEFINE(verdict, retryAfterMs)
};

/// Asks a shard for a credit for one request.
struct TakeCredit {
  using Reply = TakeCreditReply;
  static constexpr RpcMethod method = RpcMethod::takeCredit;
  string subject;  ///< the name of a tenant, or the id of a worker
  CreditKind kind = CreditKind::tenant;
  MSGPACK_DEFINE(subject, kind)
};

}  // namespace tealshelf
