#pragma once
#include "consensus/entries.hpp"
#include "consensus/membership.hpp"

/// Records of the control log on disk. The format: docs/formats.md.
namespace tealshelf {

enum class RecordKind : int {
  vote = 1,        ///< this node voted for an epoch
  append = 2,      ///< writes of an owner were stored
  membership = 3,  ///< the membership, or this node's part in it, changed
  keyspace = 4     ///< all entries of a keyspace, in a snapshot or after a copy
};

}  // namespace tealshelf
MSGPACK_ADD_ENUM(tealshelf::RecordKind)
namespace tealshelf {

/// A record of any kind; the fields that its kind doesn't use are empty.
struct LogRecord {
  RecordKind kind = RecordKind::vote;
  string keyspace;
  Epoch epoch;  ///< voted for, or of the writes
  std::uint64_t previous = 0, last = 0;
  bool full = false;
  Entries entries;
  MembershipRecord membership;
  /// Of a keyspace record: the ownership whose writes up to `last` the entries are, and nothing else. Epoch() if the
  /// entries come from several ownerships.
  Epoch appliedEpoch;
  MSGPACK_DEFINE(kind, keyspace, epoch, previous, last, full, entries, membership, appliedEpoch)

  string serialized() const;
  /// Throws ErrorCode::badMessage for bytes that are no record.
  static LogRecord parse(string const& bytes);

  static LogRecord vote(string const& keyspace, Epoch epoch);
  static LogRecord append(string const& keyspace, Epoch epoch, WriteRange const& writes);
  static LogRecord membershipChange(MembershipRecord const& membership);
  /// `applied` is Position() unless the entries are all that one ownership wrote up to it.
  static LogRecord wholeKeyspace(string const& keyspace, Epoch voted, Entries const& entries, Position applied);
};

}  // namespace tealshelf
