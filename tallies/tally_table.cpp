#include "tallies/tally_table.hpp"

namespace tealshelf {

namespace {
/// Approximate size on disk of an addition, a remembered key and a total.
constexpr std::size_t bytesPerRecentAddition = 48, bytesPerRememberedKey = 9, bytesPerTotal = 32;

StoredTotal storedForm(string const& tally, TallyTotal total) {
  return {tally, static_cast<std::int64_t>(total >> 64), static_cast<std::uint64_t>(total)};
}

TallyTotal totalOf(StoredTotal const& stored) {
  return (static_cast<TallyTotal>(stored.high) << 64) | static_cast<TallyTotal>(stored.low);
}
}  // namespace

TallyTable::AddOutcome TallyTable::add(OriginId origin, TallyAdd add) {
  auto const known = recentKeys_.find(add.key);
  if (known != recentKeys_.end()) {
    bool const isSame = known->second.change == add.change;
    return {isSame ? AddResult::repeated : AddResult::conflicting, known->second.position};
  }
  if (remembered_.contains(add.key, add.acceptedAtMs)) return {AddResult::repeated, std::nullopt};
  append(origin, std::move(add));
  return {AddResult::added, AddPosition{origin, lastOf(origin)}};
}

bool TallyTable::apply(AddBatch const& batch) {
  std::uint64_t const lastBefore = lastOf(batch.origin);
  std::uint64_t sequence = batch.first;
  for (TallyAdd const& add : batch.adds) {
    std::uint64_t const last = lastOf(batch.origin);
    if (sequence > last + 1) break;
    if (sequence == last + 1) append(batch.origin, add);
    ++sequence;
  }
  return lastOf(batch.origin) > lastBefore;
}

void TallyTable::append(OriginId origin, TallyAdd add) {
  OriginLog& log = origins_[origin];
  count(add, AddPosition{origin, log.last() + 1});
  log.adds.push_back(std::move(add));
}

void TallyTable::count(TallyAdd const& add, AddPosition position) {
  auto const known = recentKeys_.find(add.key);
  if (known != recentKeys_.end()) {
    std::int64_t const counted = std::min(known->second.change, add.change);
    totals_[add.tally] += static_cast<TallyTotal>(counted) - known->second.change;
    known->second.change = counted;
    return;
  }
  if (remembered_.contains(add.key, add.acceptedAtMs)) return;
  totals_[add.tally] += add.change;
  recentKeys_[add.key] = RecentKey{add.change, position};
}

TallyTotal TallyTable::total(string const& tally) const {
  auto const found = totals_.find(tally);
  return found == totals_.end() ? 0 : found->second;
}

VersionVector TallyTable::known() const {
  VersionVector known;
  for (auto const& [origin, log] : origins_) known[origin] = log.last();
  return known;
}

VersionVector TallyTable::settled() const {
  VersionVector settled;
  for (auto const& [origin, log] : origins_) settled[origin] = log.first - 1;
  return settled;
}

std::uint64_t TallyTable::lastOf(OriginId origin) const {
  auto const found = origins_.find(origin);
  return found == origins_.end() ? 0 : found->second.last();
}

AddBatch TallyTable::additionsAfter(OriginId origin, std::uint64_t number, std::uint64_t upTo,
                                    std::size_t limit) const {
  AddBatch batch;
  batch.origin = origin;
  auto const found = origins_.find(origin);
  if (found == origins_.end()) return batch;
  OriginLog const& log = found->second;
  batch.first = std::max(number + 1, log.first);
  std::uint64_t const last = std::min(upTo, log.last());
  for (std::uint64_t next = batch.first; next <= last && batch.adds.size() < limit; ++next)
    batch.adds.push_back(log.adds[next - log.first]);
  return batch;
}

void TallyTable::settle(VersionVector const& syncedByAll, std::int64_t acceptedBeforeMs) {
  vector<TallyAdd> settled;
  for (auto& [origin, log] : origins_) {
    std::uint64_t const upTo = sequenceIn(syncedByAll, origin);
    while (!log.adds.empty() && log.first <= upTo && log.adds.front().acceptedAtMs < acceptedBeforeMs) {
      auto const key = recentKeys_.find(log.adds.front().key);
      bool const isFirst = key != recentKeys_.end() && key->second.position == AddPosition{origin, log.first};
      if (isFirst) recentKeys_.erase(key);
      settled.push_back(std::move(log.adds.front()));
      log.adds.pop_front();
      ++log.first;
    }
  }
  if (!settled.empty()) remembered_.add(settled);
}

TallyState TallyTable::state() const {
  TallyState state;
  for (auto const& [origin, log] : origins_)
    state.recent.push_back({origin, log.first, vector<TallyAdd>(log.adds.begin(), log.adds.end())});
  for (auto const& [tally, total] : totals_) state.totals.push_back(storedForm(tally, total));
  state.remembered = remembered_.generations();
  return state;
}

bool TallyTable::install(TallyState const& state) {
  VersionVector theirs;
  for (AddBatch const& batch : state.recent) theirs[batch.origin] = batch.first + batch.adds.size() - 1;
  for (auto const& [origin, log] : origins_)
    if (log.first - 1 > sequenceIn(theirs, origin)) return false;
  std::map<OriginId, OriginLog> const local = std::exchange(origins_, {});
  recentKeys_.clear();
  totals_.clear();
  remembered_.assign(state.remembered);
  for (AddBatch const& batch : state.recent) {
    OriginLog& log = origins_[batch.origin];
    log.first = batch.first;
    for (TallyAdd const& add : batch.adds) append(batch.origin, add);
  }
  // append() has counted the recent additions; the stored totals already include them.
  totals_.clear();
  for (StoredTotal const& stored : state.totals) totals_[stored.tally] = totalOf(stored);
  for (auto const& [origin, log] : local)
    apply(AddBatch{origin, log.first, vector<TallyAdd>(log.adds.begin(), log.adds.end())});
  return true;
}

std::size_t TallyTable::recentCount() const {
  std::size_t count = 0;
  for (auto const& [origin, log] : origins_) count += log.adds.size();
  return count;
}

std::size_t TallyTable::storedSize() const {
  return bytesPerRecentAddition * recentCount() + bytesPerRememberedKey * remembered_.size() +
         bytesPerTotal * totals_.size();
}

}  // namespace tealshelf
