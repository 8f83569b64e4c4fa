#include "updates/versioned_table.hpp"

namespace tealshelf {

std::uint64_t VersionedTable::weigh(string const& key, string const& value) {
  return hash64(value, hash64(key, key.size()));
}

void VersionedTable::note(string const& key) {
  at_[digest_] = first_ + past_.size();
  past_.emplace_back(digest_, key);
  while (past_.size() > most_) {
    std::unordered_map<std::uint64_t, std::uint64_t>::iterator const i = at_.find(past_.front().first);
    if (i != at_.end() && i->second == first_) at_.erase(i);
    past_.pop_front();
    ++first_;
  }
}

bool VersionedTable::put(string const& key, string const& value) {
  std::map<string, string>::iterator const i = rows_.find(key);
  if (i != rows_.end() && i->second == value) return false;
  note(key);
  if (i != rows_.end()) digest_ -= weigh(key, i->second);
  digest_ += weigh(key, value);
  rows_[key] = value;
  return true;
}

bool VersionedTable::erase(string const& key) {
  std::map<string, string>::iterator const i = rows_.find(key);
  if (i == rows_.end()) return false;
  note(key);
  digest_ -= weigh(key, i->second);
  rows_.erase(i);
  return true;
}

TableDelta VersionedTable::since(std::uint64_t from) const {
  TableDelta d;
  d.from = from;
  d.to = digest_;
  if (from == digest_) return d;
  std::unordered_map<std::uint64_t, std::uint64_t>::const_iterator const i = at_.find(from);
  std::set<string> keys;
  if (i != at_.end())
    for (std::uint64_t n = i->second; n < first_ + past_.size(); ++n) keys.insert(past_[n - first_].second);
  if (i == at_.end() || keys.size() > rows_.size()) {
    d.full = true;
    for (std::pair<string const, string> const& p : rows_) d.rows.push_back({p.first, p.second, false});
    return d;
  }
  for (string const& k : keys) {
    std::map<string, string>::const_iterator const r = rows_.find(k);
    d.rows.push_back(r == rows_.end() ? TableRow{k, "", true} : TableRow{k, r->second, false});
  }
  return d;
}

bool VersionedTable::apply(TableDelta const& d, std::function<void(TableRow const&)> const& changed) {
  if (!d.full && d.from != digest_) return false;
  std::uint64_t to = d.full ? empty : digest_;
  std::set<string> named;
  for (TableRow const& r : d.rows) {
    if (!named.insert(r.key).second) return false;
    std::map<string, string>::const_iterator const i = rows_.find(r.key);
    if (!d.full && i != rows_.end()) to -= weigh(r.key, i->second);
    if (!r.gone) to += weigh(r.key, r.value);
  }
  if (to != d.to) return false;
  vector<string> out;
  if (d.full)
    for (std::pair<string const, string> const& p : rows_)
      if (!named.count(p.first)) out.push_back(p.first);
  for (string const& k : out) {
    erase(k);
    changed({k, "", true});
  }
  for (TableRow const& r : d.rows)
    if (r.gone ? erase(r.key) : put(r.key, r.value)) changed(r);
  return true;
}

}  // namespace tealshelf
