#pragma once
#include "consensus/entries.hpp"
#include "consensus/membership.hpp"

/// Records of the control log on disk. Their format is described in docs/formats.md.
namespace tealshelf {

enum class RecordKind : int {
  vote = 1,        ///< this node voted for an epoch
  append = 2,      ///< this node stored writes of an owner
  membership = 3,  ///< the membership or this node's role in it changed
  keyspace = 4     ///< all entries of a keyspace, in a snapshot or after a copy
};

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::RecordKind)
namespace tealshelf {

/// A record of any kind; fields that its kind doesn't use are empty.
struct LogRecord {
  RecordKind kind = RecordKind::vote;
  string keyspace;
  Epoch epoch;  ///< the epoch voted for, or that of the writes
  std::uint64_t previous = 0, last = 0;
  bool full = false;
  Entries entries;
  MembershipRecord membership;
  /// In a keyspace record: the epoch if the entries are exactly its writes up to `last`; Epoch() if they come from
  /// several ownerships.
  Epoch appliedEpoch;
  MSGPACK_DEFINE(kind, keyspace, epoch, previous, last, full, entries, membership, appliedEpoch)

  string serialized() const;
  /// Throws ErrorCode::badMessage if the bytes aren't a record.
  static LogRecord parse(string const& bytes);

  static LogRecord vote(string const& keyspace, Epoch epoch);
  static LogRecord append(string const& keyspace, Epoch epoch, WriteRange const& writes);
  static LogRecord membershipChange(MembershipRecord const& membership);
  /// `applied` is Position() unless the entries are exactly the writes of one ownership up to it.
  static LogRecord wholeKeyspace(string const& keyspace, Epoch votedEpoch, Entries const& entries, Position applied);
};

}  // namespace tealshelf
