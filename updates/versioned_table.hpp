#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// One change of a table.
struct TableRow {
  string key, value;
  bool gone = false;
  MSGPACK_DEFINE(key, value, gone)
};
/// What leads from one content of a table to another; a full one leads there from anywhere.
struct TableDelta {
  std::uint64_t from = 0, to = 0;
  bool full = false;
  vector<TableRow> rows;
  MSGPACK_DEFINE(from, to, full, rows)
};

/// A table whose version is a digest of its content, so that any node that has the same content
/// can serve the next delta, whoever served the last one.
class VersionedTable {
 public:
  /// Remembers so many changes; whoever is further behind gets a full delta.
  explicit VersionedTable(std::size_t history = 512) : most_(history) {}
  /// True if the content changed.
  bool put(string const& key, string const& value);
  bool erase(string const& key);
  /// Digest of the content; never 0, which stands for knowing nothing.
  std::uint64_t digest() const { return digest_; }
  std::map<string, string> const& rows() const { return rows_; }
  /// The delta from a content that this table had, else a full one.
  TableDelta since(std::uint64_t from) const;
  /// Takes a delta in; tells each changed row. False, and nothing is changed, if its base is not
  /// this content or it doesn't lead to the content that it promises.
  bool apply(TableDelta const& d, std::function<void(TableRow const&)> const& changed);

 private:
  static constexpr std::uint64_t empty = 0x7ea15be1f0000001ull;
  static std::uint64_t weigh(string const& key, string const& value);
  void note(string const& key);
  std::size_t most_;
  std::map<string, string> rows_;
  std::uint64_t digest_ = empty;
  std::uint64_t first_ = 0;                              ///< number of the oldest change remembered
  std::deque<std::pair<std::uint64_t, string>> past_;    ///< digest before a change, and its key
  std::unordered_map<std::uint64_t, std::uint64_t> at_;  ///< digest to the number of the change after it
};

}  // namespace tealshelf
