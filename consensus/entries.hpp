#pragma once
#include "base/tealshelf.hpp"

/// Versioned entries of keyspaces.
///
/// A keyspace is a replicated map from string keys to string values. One node at a time owns it and is its only writer.
/// Every ownership has its own epoch, within which the owner numbers its writes.
namespace tealshelf {

/// Identifies one ownership of a keyspace; increases with every takeover. Unique, as it includes the owner.
struct Epoch {
  std::uint64_t number = 0;
  NodeId owner;
  auto operator<=>(Epoch const&) const = default;
  MSGPACK_DEFINE(number, owner)
};

/// A position in the sequence of writes of one ownership.
struct Position {
  Epoch epoch;
  std::uint64_t sequence = 0;
  auto operator<=>(Position const&) const = default;
};

/// The value of one key together with the position of the write that set it. A deleted key keeps its entry as a
/// tombstone, so that the deletion wins over older values on other disks.
struct Entry {
  Epoch epoch;
  std::uint64_t sequence = 0;
  string value;
  bool deleted = false;
  Position position() const { return {epoch, sequence}; }
  MSGPACK_DEFINE(epoch, sequence, value, deleted)
};
using Entries = std::map<string, Entry>;

/// The values of a keyspace, without versions and tombstones.
using Values = std::map<string, string>;

/// Copies into `target` every entry of `source` that is newer than the target's entry of the same key.
void mergeNewer(Entries& target, Entries const& source);

/// Approximate size of entries in memory and on the wire.
std::size_t byteSize(string const& key, Entry const& entry);
std::size_t byteSize(Entries const& entries);

/// Consecutive writes of one epoch, with the sequence numbers from `previous + 1` to `last`. A full range holds the
/// whole keyspace and replaces all earlier writes.
struct WriteRange {
  std::uint64_t previous = 0;
  std::uint64_t last = 0;
  bool full = false;
  Entries entries;
};

}  // namespace tealshelf
