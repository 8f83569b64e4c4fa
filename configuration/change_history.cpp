#include "configuration/change_history.hpp"

#include "wire/serialization.hpp"

namespace tealshelf {

namespace {
string const pagePrefix = "orders/";
}

ChangeHistory::ChangeHistory(std::map<string, string> const& values, std::uint64_t currentVersion, HistoryShape shape)
    : currentVersion_(currentVersion), shape_(shape) {
  std::map<std::uint64_t, AcceptedChange> stored;
  for (auto page = values.lower_bound(pagePrefix); page != values.end() && page->first.starts_with(pagePrefix); ++page)
    for (AcceptedChange& change : deserialize<vector<AcceptedChange>>(page->second))
      stored.emplace(change.number, std::move(change));
  // From the newest back, while each change builds on the one before; newer changes that were never committed are
  // skipped.
  std::uint64_t expectedVersion = currentVersion;
  while (!stored.empty()) {
    auto const newest = std::prev(stored.end());
    bool const adjacent = changes_.empty() || changes_.begin()->first == newest->first + 1;
    if (newest->second.version == expectedVersion && adjacent) {
      expectedVersion = newest->second.baseVersion;
      changes_.insert(stored.extract(newest));
    } else if (changes_.empty()) {
      stored.erase(newest);
    } else {
      break;
    }
  }
}

AcceptedChange const* ChangeHistory::find(ChangeId const& id) const {
  for (auto const& [number, change] : changes_)
    if (change.baseVersion == id.baseVersion && change.digest == id.digest) return &change;
  return nullptr;
}

bool ChangeHistory::mayHaveEvicted(std::uint64_t baseVersion) const {
  std::uint64_t const oldestKnown = changes_.empty() ? currentVersion_ : changes_.begin()->second.baseVersion;
  return baseVersion < oldestKnown;
}

ChangeHistory::Row ChangeHistory::append(ChangeId const& id, std::uint64_t version) const {
  std::uint64_t const number = changes_.empty() ? 0 : changes_.rbegin()->first + 1;
  std::uint64_t const firstOfPage = number - number % shape_.changesPerPage;
  vector<AcceptedChange> page;
  for (auto change = changes_.lower_bound(firstOfPage); change != changes_.end(); ++change)
    page.push_back(change->second);
  page.push_back(AcceptedChange{number, id.baseVersion, version, id.digest});
  std::uint64_t const slot = number / shape_.changesPerPage % shape_.pages;
  return Row{pagePrefix + std::to_string(slot), serialize(page)};
}

}  // namespace tealshelf
