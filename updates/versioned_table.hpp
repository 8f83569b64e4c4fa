#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The new value of a row, or its removal.
struct TableRow {
  string key, value;
  bool removed = false;
  MSGPACK_DEFINE(key, value, removed)
};

/// The changes between two versions of a table; a full delta holds all rows and applies to any version.
struct TableDelta {
  std::uint64_t fromDigest = 0, toDigest = 0;
  bool full = false;
  vector<TableRow> rows;
  MSGPACK_DEFINE(fromDigest, toDigest, full, rows)
};

/// A table whose version is a digest of its content, so that any node with the same content can serve the next delta,
/// whichever node served the last one.
class VersionedTable {
 public:
  /// Keeps the last `maxHistory` changes; a subscriber that is further behind gets a full delta.
  explicit VersionedTable(std::size_t maxHistory = 512) : maxHistory_(maxHistory) {}
  /// True if the content changed.
  bool put(string const& key, string const& value);
  bool erase(string const& key);
  /// Digest of the content; never 0, which stands for a subscriber without any state.
  std::uint64_t digest() const { return digest_; }
  std::map<string, string> const& rows() const { return rows_; }
  /// The delta from a version in the history; a full one for any other digest.
  TableDelta deltaSince(std::uint64_t digest) const;
  /// Applies a delta and reports each changed row. Returns false and changes nothing if the delta is based on another
  /// version, or if its rows don't result in its target digest.
  bool apply(TableDelta const& delta, std::function<void(TableRow const&)> const& onChange);

 private:
  struct PastChange {
    std::uint64_t digestBefore;
    string key;
  };
  static constexpr std::uint64_t emptyDigest = 0x7ea15be1f0000001ull;
  static std::uint64_t rowHash(string const& key, string const& value);
  void remember(string const& key);
  bool reachesTargetDigest(TableDelta const& delta) const;

  std::size_t maxHistory_;
  std::map<string, string> rows_;
  std::uint64_t digest_ = emptyDigest;
  std::deque<PastChange> history_;
  std::uint64_t firstChange_ = 0;                                 ///< number of the oldest change in the history
  std::unordered_map<std::uint64_t, std::uint64_t> changeAfter_;  ///< number of the change after a digest
};

}  // namespace tealshelf
