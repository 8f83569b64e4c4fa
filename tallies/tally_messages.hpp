#pragma once
#include "tallies/tally_add.hpp"

/// Messages between the nodes that keep tallies.
namespace tealshelf {

/// A chunk of a node's whole state, sent to a node that lacks settled additions.
struct TallyStateChunk {
  std::uint64_t transfer = 0;  ///< 0: no chunk
  std::uint64_t offset = 0, size = 0;
  string bytes;
  MSGPACK_DEFINE(transfer, offset, size, bytes)
};

/// The answer to TallyPush, sent once everything in the push is synced.
struct TallyPushReply {
  NodeId from;
  VersionVector synced;  ///< what the answering node has synced
  /// The answering node lacks additions that are settled at the sender and requests its whole state, from `offset` on.
  bool wantsState = false;
  std::uint64_t transfer = 0, offset = 0;
  MSGPACK_DEFINE(from, synced, wantsState, transfer, offset)
};

/// Sends a node additions that it lacks. Without any, it only asks what the node has.
struct TallyPush {
  using Reply = TallyPushReply;
  static constexpr RpcMethod method = RpcMethod::pushTallies;
  NodeId from, to;
  VersionVector settled;  ///< only if the receiver may lack settled additions
  vector<AddBatch> batches;
  TallyStateChunk state;
  MSGPACK_DEFINE(from, to, settled, batches, state)
};

}  // namespace tealshelf
