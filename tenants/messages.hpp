#pragma once
#include "wire/rpc.hpp"

/// Calls by which edges have requests of tenants counted.
namespace tealshelf {

/// What came of a question for a credit.
enum class CreditVerdict : int {
  granted = 0,
  exhausted = 1,   ///< the shard's part of the limit is used up
  notCounting = 2  ///< the node doesn't count for this tenant now: not a member, without a majority, or too new
};

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::CreditVerdict)
namespace tealshelf {

struct TakeCreditReply {
  CreditVerdict verdict = CreditVerdict::notCounting;
  std::int64_t retryAfterMs = 0;  ///< when exhausted: it is no use to ask again sooner
  MSGPACK_DEFINE(verdict, retryAfterMs)
};

/// Asks a shard to let one request of a tenant through.
struct TakeCredit {
  using Reply = TakeCreditReply;
  static constexpr RpcMethod method = RpcMethod::takeCredit;
  string tenant;
  MSGPACK_DEFINE(tenant)
};

}  // namespace tealshelf
