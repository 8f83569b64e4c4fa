#include "tallies/remembered_keys.hpp"

namespace tealshelf {

bool RememberedKeys::contains(AddKey const& key, std::int64_t acceptedAtMs) const {
  std::int64_t const accepted = generationOf(acceptedAtMs);
  for (auto const& [generation, keys] : keys_) {
    bool const isRetained = std::abs(accepted - generation) <= generationsKept;
    if (isRetained && std::binary_search(keys.begin(), keys.end(), key.low)) return true;
  }
  return false;
}

void RememberedKeys::add(vector<TallyAdd> const& adds) {
  std::map<std::int64_t, vector<std::uint64_t>> added;
  for (TallyAdd const& add : adds) added[generationOf(add.acceptedAtMs)].push_back(add.key.low);
  for (auto& [generation, keys] : added) {
    std::sort(keys.begin(), keys.end());
    vector<std::uint64_t> merged;
    vector<std::uint64_t>& present = keys_[generation];
    merged.reserve(present.size() + keys.size());
    std::set_union(present.begin(), present.end(), keys.begin(), keys.end(), std::back_inserter(merged));
    merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
    present = std::move(merged);
  }
}

void RememberedKeys::forget(std::int64_t nowMs) {
  std::int64_t const oldest = generationOf(nowMs) - generationsKept - 1;
  std::erase_if(keys_, [oldest](auto const& generation) { return generation.first < oldest; });
}

std::size_t RememberedKeys::size() const {
  std::size_t sum = 0;
  for (auto const& [generation, keys] : keys_) sum += keys.size();
  return sum;
}

vector<RememberedKeys::Generation> RememberedKeys::generations() const {
  vector<Generation> all;
  for (auto const& [generation, keys] : keys_) all.push_back({generation, keys});
  return all;
}

void RememberedKeys::assign(vector<Generation> const& generations) {
  keys_.clear();
  for (Generation const& generation : generations) keys_[generation.number] = generation.keys;
}

}  // namespace tealshelf
