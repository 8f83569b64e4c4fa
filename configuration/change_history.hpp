#pragma once
#include "configuration/canonical_json.hpp"

/// The history of accepted configuration changes, stored in the same keyspace as the current configuration.
///
/// A change is identified by the version it builds on and the digest of its content. Each accepted change is appended
/// to a ring of pages in the same write that makes its configuration current, so that a majority has both or neither.
/// The oldest page is overwritten once the ring is full; no key is ever deleted, so no tombstones are needed.
///
/// A page that a deposed owner was the first to write, and that never reached a majority, may reappear in a later epoch
/// without the configuration of the same write. Therefore only changes that lead to the current version count: the
/// newest must install it, and each must build on the version of the one before.
namespace tealshelf {

/// Identity of a change: the version that it builds on and the digest of its canonical content.
struct ChangeId {
  std::uint64_t baseVersion = 0;
  Digest digest;
  bool operator==(ChangeId const&) const = default;
};

/// An accepted change; `number` is its sequence number, from 0.
struct AcceptedChange {
  std::uint64_t number = 0, baseVersion = 0, version = 0;
  Digest digest;
  bool operator==(AcceptedChange const&) const = default;
  MSGPACK_DEFINE(number, baseVersion, version, digest)
};

/// Capacity of the history: `pages` keys of `changesPerPage` changes each.
struct HistoryShape {
  std::uint64_t pages = 65, changesPerPage = 16;
};

/// The recent changes, as read from the committed values of the configuration's keyspace.
class ChangeHistory {
 public:
  /// Reads the pages among the values of a keyspace, and drops changes that don't lead to the current version.
  ChangeHistory(std::map<string, string> const& values, std::uint64_t currentVersion,
                HistoryShape shape = HistoryShape());
  /// The change if it was accepted and is still kept, or null.
  AcceptedChange const* find(ChangeId const& id) const;
  /// True if changes that build on this version may have been accepted and overwritten since.
  bool mayHaveEvicted(std::uint64_t baseVersion) const;
  /// A value to write together with the configuration that a change installs.
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
