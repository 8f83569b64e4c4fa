#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// One change of a table.
struct TableRow {
  string key, value;
  bool removed = false;
  MSGPACK_DEFINE(key, value, removed)
};

/// What leads from one content of a table to another; a full one leads there from anywhere.
struct TableDelta {
  std::uint64_t fromDigest = 0, toDigest = 0;
  bool full = false;
  vector<TableRow> rows;
  MSGPACK_DEFINE(fromDigest, toDigest, full, rows)
};

/// A table whose version is a digest of its content, so that any node that has the same content can serve the next
/// delta, whoever served the last one.
class VersionedTable {
 public:
  /// Remembers so many changes; whoever is further behind gets a full delta.
  explicit VersionedTable(std::size_t maxHistory = 512) : maxHistory_(maxHistory) {}
  /// True if the content changed.
  bool put(string const& key, string const& value);
  bool erase(string const& key);
  /// Digest of the content; never 0, which stands for knowing nothing.
  std::uint64_t digest() const { return digest_; }
  std::map<string, string> const& rows() const { return rows_; }
  /// The delta from a content that this table had, else a full one.
  TableDelta deltaSince(std::uint64_t digest) const;
  /// Applies a delta and reports each changed row. False, and nothing is changed, if its base is not this content or it
  /// doesn't lead to the content that it promises.
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
