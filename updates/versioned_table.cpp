#include "updates/versioned_table.hpp"

namespace tealshelf {

std::uint64_t VersionedTable::rowHash(string const& key, string const& value) {
  return hash64(value, hash64(key, key.size()));
}

void VersionedTable::remember(string const& key) {
  changeAfter_[digest_] = firstChange_ + history_.size();
  history_.push_back({digest_, key});
  while (history_.size() > maxHistory_) {
    auto const oldest = changeAfter_.find(history_.front().digestBefore);
    // The table may have had the same content again later; then the digest maps to a later change.
    if (oldest != changeAfter_.end() && oldest->second == firstChange_) changeAfter_.erase(oldest);
    history_.pop_front();
    ++firstChange_;
  }
}

bool VersionedTable::put(string const& key, string const& value) {
  auto const present = rows_.find(key);
  if (present != rows_.end() && present->second == value) return false;
  remember(key);
  if (present != rows_.end()) digest_ -= rowHash(key, present->second);
  digest_ += rowHash(key, value);
  rows_[key] = value;
  return true;
}

bool VersionedTable::erase(string const& key) {
  auto const present = rows_.find(key);
  if (present == rows_.end()) return false;
  remember(key);
  digest_ -= rowHash(key, present->second);
  rows_.erase(present);
  return true;
}

TableDelta VersionedTable::deltaSince(std::uint64_t digest) const {
  TableDelta delta;
  delta.fromDigest = digest;
  delta.toDigest = digest_;
  if (digest == digest_) return delta;
  auto const next = changeAfter_.find(digest);
  std::set<string> changedKeys;
  if (next != changeAfter_.end())
    for (std::uint64_t change = next->second; change < firstChange_ + history_.size(); ++change)
      changedKeys.insert(history_[change - firstChange_].key);
  delta.full = next == changeAfter_.end() || changedKeys.size() > rows_.size();
  if (delta.full) {
    for (auto const& [key, value] : rows_) delta.rows.push_back({key, value, false});
    return delta;
  }
  for (string const& key : changedKeys) {
    auto const present = rows_.find(key);
    bool const removed = present == rows_.end();
    delta.rows.push_back({key, removed ? "" : present->second, removed});
  }
  return delta;
}

bool VersionedTable::reachesTargetDigest(TableDelta const& delta) const {
  std::uint64_t digest = delta.full ? emptyDigest : digest_;
  std::set<string> keys;
  for (TableRow const& row : delta.rows) {
    if (!keys.insert(row.key).second) return false;
    auto const present = rows_.find(row.key);
    if (!delta.full && present != rows_.end()) digest -= rowHash(row.key, present->second);
    if (!row.removed) digest += rowHash(row.key, row.value);
  }
  return digest == delta.toDigest;
}

bool VersionedTable::apply(TableDelta const& delta, std::function<void(TableRow const&)> const& onChange) {
  bool const matchesBase = delta.full || delta.fromDigest == digest_;
  if (!matchesBase || !reachesTargetDigest(delta)) return false;
  vector<string> removedKeys;
  if (delta.full) {
    std::set<string> keys;
    for (TableRow const& row : delta.rows) keys.insert(row.key);
    for (auto const& [key, value] : rows_)
      if (!keys.contains(key)) removedKeys.push_back(key);
  }
  for (string const& key : removedKeys) {
    erase(key);
    onChange({key, "", true});
  }
  for (TableRow const& row : delta.rows) {
    bool const changed = row.removed ? erase(row.key) : put(row.key, row.value);
    if (changed) onChange(row);
  }
  return true;
}

}  // namespace tealshelf
