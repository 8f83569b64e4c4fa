#pragma once
#include "tallies/tally_add.hpp"

/// What nodes that keep tallies tell each other.
namespace tealshelf {

/// A piece of a node's whole state on its way to one that lacks settled additions.
struct TallyStateChunk {
  std::uint64_t transfer = 0;  ///< 0: there is none
  std::uint64_t offset = 0, size = 0;
  string bytes;
  MSGPACK_DEFINE(transfer, offset, size, bytes)
};

/// The answer to TallyPush, given once all that came with it is on the disk.
struct TallyPushReply {
  NodeId from;
  VersionVector synced;  ///< what the answering node has on its disk
  /// The answering node lacks additions that are settled at the sender and wants its whole state, from this offset on.
  bool wantsState = false;
  std::uint64_t transfer = 0, offset = 0;
  MSGPACK_DEFINE(from, synced, wantsState, transfer, offset)
};

/// Brings a node additions that it lacks. Without any, it asks what the node has.
struct TallyPush {
  using Reply = TallyPushReply;
  static constexpr RpcMethod method = RpcMethod::pushTallies;
  NodeId from, to;
  VersionVector settled;  ///< only where the receiver may lack settled additions
  vector<AddBatch> batches;
  TallyStateChunk state;
  MSGPACK_DEFINE(from, to, settled, batches, state)
};

}  // namespace tealshelf
