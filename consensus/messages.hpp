#pragma once
#include "consensus/entries.hpp"
#include "consensus/membership.hpp"

/// Messages between the state machines of control nodes, one struct a kind.
namespace tealshelf {

/// Asks for a vote for the ownership of a keyspace under the message's epoch.
struct VoteRequest {};

/// Answer to a VoteRequest; a granted vote brings all entries that the voter holds.
struct VoteReply {
  bool granted = false;
  Epoch votedEpoch;
  Entries entries;
};

/// Writes of the owner that the receiver shall store.
struct AppendRequest {
  WriteRange writes;
  std::uint64_t committed = 0;  ///< how far the owner's writes are committed
};

/// Answer to an AppendRequest, sent once the writes are synced.
struct AppendReply {
  bool accepted = false;
  Epoch votedEpoch;
  std::uint64_t last = 0;
};

/// Asks whether the sender still owns the keyspace, as far as the receiver knows; a majority of confirmations makes
/// a read linearizable (Raft thesis, 6.4, read index).
struct OwnershipCheck {
  std::uint64_t round = 0;
};

struct OwnershipCheckReply {
  bool confirmed = false;
  Epoch votedEpoch;
  std::uint64_t round = 0;
};

/// One piece of committed state for a member that lags. All pieces of a transfer together are one write range.
struct TransferChunk {
  std::uint64_t transfer = 0;
  std::uint64_t index = 0;
  WriteRange writes;
  std::uint64_t committed = 0;
  bool isLast = false;
};

struct TransferChunkReply {
  bool accepted = false;
  Epoch votedEpoch;
  std::uint64_t transfer = 0;
  std::uint64_t index = 0;
  std::uint64_t last = 0;
};

/// A message of a kind that this release doesn't know; it is ignored.
struct UnknownMessage {};

/// The index of an alternative is its number on the wire.
using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, OwnershipCheck,
                                 OwnershipCheckReply, TransferChunk, TransferChunkReply, UnknownMessage>;

/// The epoch that the sender voted for; Epoch() in messages that don't carry it.
Epoch votedEpochOf(MessageBody const& body);

/// A message about one keyspace from one member to another. Receivers ignore messages of another membership.
struct Message {
  MembershipNumber membership;
  NodeId from, to;
  string keyspace;
  Epoch epoch;  ///< of the ownership that the message is about
  MessageBody body;

  template <class Packer>
  void msgpack_pack(Packer& packer) const;
  void msgpack_unpack(msgpack::object const& object);
};

/// The flat form in which all kinds of messages go over the wire: one field for each thing that any kind carries.
/// Older and newer releases read it, so fields are only ever added at the end.
struct FlatMessage {
  int kind = 0;
  Epoch votedEpoch;
  std::uint64_t round = 0, previous = 0, last = 0;
  bool ok = false, full = false;
  Entries const* entries = nullptr;  ///< null stands for no entries
  std::uint64_t committed = 0, transfer = 0;
  bool isLast = false;
};
FlatMessage flatten(MessageBody const& body);

template <class Packer>
void Message::msgpack_pack(Packer& packer) const {
  static constexpr std::uint32_t fieldCount = 16;
  static Entries const noEntries;
  FlatMessage const flat = flatten(body);
  packer.pack_array(fieldCount);
  packer.pack(flat.kind);
  packer.pack(membership);
  packer.pack(from);
  packer.pack(to);
  packer.pack(keyspace);
  packer.pack(epoch);
  packer.pack(flat.votedEpoch);
  packer.pack(flat.round);
  packer.pack(flat.previous);
  packer.pack(flat.last);
  packer.pack(flat.ok);
  packer.pack(flat.full);
  packer.pack(flat.entries ? *flat.entries : noEntries);
  packer.pack(flat.committed);
  packer.pack(flat.transfer);
  packer.pack(flat.isLast);
}

}  // namespace tealshelf
