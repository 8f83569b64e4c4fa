#include "consensus/messages.hpp"

namespace tealshelf {

namespace {
/// A message as decoded from the wire; the fields are in the order of Message::msgpack_pack.
struct ReceivedMessage {
  int kind = 0;
  MembershipNumber membership;
  NodeId from, to;
  string keyspace;
  Epoch epoch, votedEpoch;
  std::uint64_t round = 0, previous = 0, last = 0;
  bool ok = false, full = false;
  Entries entries;
  std::uint64_t committed = 0, transfer = 0;
  bool isLast = false;
  MSGPACK_DEFINE(kind, membership, from, to, keyspace, epoch, votedEpoch, round, previous, last, ok, full, entries,
                 committed, transfer, isLast)

  WriteRange takeWrites() { return WriteRange{previous, last, full, std::move(entries)}; }
};

static_assert(std::is_same_v<std::variant_alternative_t<7, MessageBody>, TransferChunkReply>,
              "the order of the alternatives is fixed by the wire format");

MessageBody bodyOf(ReceivedMessage& m) {
  switch (m.kind) {
    case 0:
      return VoteRequest{};
    case 1:
      return VoteReply{m.ok, m.votedEpoch, std::move(m.entries)};
    case 2:
      return AppendRequest{m.takeWrites(), m.committed};
    case 3:
      return AppendReply{m.ok, m.votedEpoch, m.last};
    case 4:
      return OwnershipCheck{m.round};
    case 5:
      return OwnershipCheckReply{m.ok, m.votedEpoch, m.round};
    case 6:
      return TransferChunk{m.transfer, m.round, m.takeWrites(), m.committed, m.isLast};
    case 7:
      return TransferChunkReply{m.ok, m.votedEpoch, m.transfer, m.round, m.last};
    default:
      return UnknownMessage{};
  }
}

void fill(FlatMessage&, VoteRequest const&) {}
void fill(FlatMessage& flat, VoteReply const& body) {
  flat.ok = body.granted;
  flat.votedEpoch = body.votedEpoch;
  flat.entries = &body.entries;
}
void fill(FlatMessage& flat, WriteRange const& writes) {
  flat.previous = writes.previous;
  flat.last = writes.last;
  flat.full = writes.full;
  flat.entries = &writes.entries;
}
void fill(FlatMessage& flat, AppendRequest const& body) {
  fill(flat, body.writes);
  flat.committed = body.committed;
}
void fill(FlatMessage& flat, AppendReply const& body) {
  flat.ok = body.accepted;
  flat.votedEpoch = body.votedEpoch;
  flat.last = body.last;
}
void fill(FlatMessage& flat, OwnershipCheck const& body) {
  flat.round = body.round;
}
void fill(FlatMessage& flat, OwnershipCheckReply const& body) {
  flat.ok = body.confirmed;
  flat.votedEpoch = body.votedEpoch;
  flat.round = body.round;
}
void fill(FlatMessage& flat, TransferChunk const& body) {
  fill(flat, body.writes);
  flat.transfer = body.transfer;
  flat.round = body.index;
  flat.committed = body.committed;
  flat.isLast = body.isLast;
}
void fill(FlatMessage& flat, TransferChunkReply const& body) {
  flat.ok = body.accepted;
  flat.votedEpoch = body.votedEpoch;
  flat.transfer = body.transfer;
  flat.round = body.index;
  flat.last = body.last;
}
void fill(FlatMessage&, UnknownMessage const&) {}
}  // namespace

FlatMessage flatten(MessageBody const& body) {
  FlatMessage flat;
  flat.kind = static_cast<int>(body.index());
  std::visit([&flat](auto const& alternative) { fill(flat, alternative); }, body);
  return flat;
}

Epoch votedEpochOf(MessageBody const& body) {
  return flatten(body).votedEpoch;
}

void Message::msgpack_unpack(msgpack::object const& object) {
  ReceivedMessage received = object.as<ReceivedMessage>();
  membership = received.membership;
  from = received.from;
  to = received.to;
  keyspace = std::move(received.keyspace);
  epoch = received.epoch;
  body = bodyOf(received);
}

bool isRequest(MessageBody const& body) {
  return std::holds_alternative<VoteRequest>(body) || std::holds_alternative<AppendRequest>(body) ||
         std::holds_alternative<OwnershipCheck>(body) || std::holds_alternative<TransferChunk>(body);
}

}  // namespace tealshelf
