#pragma once
#include "configuration/canonical_json.hpp"

/// The history of accepted configuration changes, kept by a majority beside the current configuration.
///
/// A change is known by the version it builds on and the digest of its content. Each accepted change is appended to a
/// ring of pages in the same write that makes its configuration current, so that both are on a majority or neither. A
/// page is overwritten once the ring is full; no key is ever deleted, and no tombstone arises.
///
/// A page that a deposed owner was the first to write, and that no majority ever had, may come up in a later epoch
/// without the configuration of the same write. Therefore only changes that lead to the current version count: the
/// newest must bring it, and each must build on the version of the one before.
namespace tealshelf {

/// What makes two changes the same: the version that they build on and the digest of the canonical content.
struct ChangeId {
  std::uint64_t baseVersion = 0;
  Digest digest;
  bool operator==(ChangeId const&) const = default;
};

/// An accepted change; `number` counts all that ever were, from 0.
struct AcceptedChange {
  std::uint64_t number = 0, baseVersion = 0, version = 0;
  Digest digest;
  bool operator==(AcceptedChange const&) const = default;
  MSGPACK_DEFINE(number, baseVersion, version, digest)
};

/// How many changes are kept: `pages` keys of `changesPerPage` each.
struct HistoryShape {
  std::uint64_t pages = 65, changesPerPage = 16;
};

/// The changes that are kept, as read from the committed values of the configuration's keyspace.
class ChangeHistory {
 public:
  /// Reads the pages among the values of a keyspace, as far as they lead to the current version.
  ChangeHistory(std::map<string, string> const& values, std::uint64_t currentVersion,
                HistoryShape shape = HistoryShape());
  /// The change if it was accepted and is still kept, or null.
  AcceptedChange const* find(ChangeId const& id) const;
  /// True if changes on this base may have been accepted and forgotten since.
  bool mayHaveEvicted(std::uint64_t baseVersion) const;
  /// A value to write together with the configuration that a change brings.
  struct Row {
    string key, value;
  };
  Row append(ChangeId const& id, std::uint64_t version) const;
  std::map<std::uint64_t, AcceptedChange> const& changes() const { return changes_; }

 private:
  std::uint64_t currentVersion_ = 0;
  HistoryShape shape_;
  std::map<std::uint64_t, AcceptedChange> changes_;  ///< by number
};

}  // namespace tealshelf
