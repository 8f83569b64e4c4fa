#pragma once
#include "base/tealshelf.hpp"

/// Versioned entries of keyspaces.
///
/// A keyspace is a replicated map from string keys to string values. One node at a time owns it and is the only one
/// to write it. Every ownership has an epoch of its own, and the owner numbers its writes within that epoch.
namespace tealshelf {

/// Number of an ownership of a keyspace; rises with every handover. Unique, as the owner is part of it.
struct Epoch {
  std::uint64_t number = 0;
  NodeId owner;
  auto operator<=>(Epoch const&) const = default;
  MSGPACK_DEFINE(number, owner)
};

/// A place in the sequence of writes of one ownership.
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

/// Live values of a keyspace, without versions and tombstones.
using Values = std::map<string, string>;

/// Takes over every entry of `source` that is newer than the entry of its key in `target`.
void mergeNewer(Entries& target, Entries const& source);

/// Approximate size of entries in memory and on the wire.
std::size_t byteSize(string const& key, Entry const& entry);
std::size_t byteSize(Entries const& entries);

/// Writes of one owner within its epoch, with the sequence numbers after `previous` up to `last`. A full range holds
/// the whole keyspace and replaces everything written before.
struct WriteRange {
  std::uint64_t previous = 0;
  std::uint64_t last = 0;
  bool full = false;
  Entries entries;
};

}  // namespace tealshelf
