#pragma once
#include "consensus/entries.hpp"
#include "consensus/membership.hpp"

/// Messages between the consensus state machines of control nodes, one struct for each kind.
namespace tealshelf {

/// Asks for a vote for the ownership of a keyspace under the message's epoch.
struct VoteRequest {};

/// Reply to a VoteRequest; a granted vote carries all entries that the voter holds.
struct VoteReply {
  bool granted = false;
  Epoch votedEpoch;
  Entries entries;
};

/// Asks the receiver to store writes of the owner.
struct AppendRequest {
  WriteRange writes;
  std::uint64_t committed = 0;  ///< sequence number up to which the owner has committed
};

/// Reply to an AppendRequest, sent after the writes are synced.
struct AppendReply {
  bool accepted = false;
  Epoch votedEpoch;
  std::uint64_t last = 0;
};

/// Asks whether the receiver still considers the sender the owner of the keyspace. Confirmations by a majority make a
/// read linearizable (Raft thesis, 6.4, read index).
struct OwnershipCheck {
  std::uint64_t round = 0;
};

struct OwnershipCheckReply {
  bool confirmed = false;
  Epoch votedEpoch;
  std::uint64_t round = 0;
};

/// A chunk of committed state for a lagging member. All chunks of a transfer together are one write range.
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

/// A message of a kind that this release doesn't know; ignored.
struct UnknownMessage {};

/// The index of an alternative is its kind on the wire.
using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, OwnershipCheck,
                                 OwnershipCheckReply, TransferChunk, TransferChunkReply, UnknownMessage>;

/// The epoch that the sender voted for; Epoch() in messages that don't carry it.
Epoch votedEpochOf(MessageBody const& body);

/// True for requests, false for replies and unknown messages.
bool isRequest(MessageBody const& body);

/// A message about one keyspace from one member to another. Receivers ignore messages sent under another membership.
struct Message {
  MembershipNumber membership;
  NodeId from, to;
  string keyspace;
  Epoch epoch;  ///< of the ownership or takeover that the message belongs to
  MessageBody body;

  template <class Packer>
  void msgpack_pack(Packer& packer) const;
  void msgpack_unpack(msgpack::object const& object);
};

/// The common wire format of all kinds of messages, with the fields of every kind. Older and newer releases read it,
/// so new fields may only be added at the end.
struct FlatMessage {
  int kind = 0;
  Epoch votedEpoch;
  std::uint64_t round = 0, previous = 0, last = 0;
  bool ok = false, full = false;
  Entries const* entries = nullptr;  ///< null means no entries
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
