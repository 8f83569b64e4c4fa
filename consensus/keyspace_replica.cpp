#include "consensus/keyspace_replica.hpp"

#include "base/invariant.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t maxRanges = 1024;

/// Two different values at one position mean that two owners, or two processes of one owner, used the same epoch.
void checkOneValuePerPosition(Entries const& stored, Entries const& received) {
  for (auto const& [key, entry] : received) {
    auto const known = stored.find(key);
    if (known == stored.end() || known->second.position() != entry.position()) continue;
    bool const same = known->second.value == entry.value && known->second.deleted == entry.deleted;
    checkInvariant(Invariant::epochHasOneOwner, same,
                   [&key] { return "key " + key + " has two values at one position"; });
  }
}
}  // namespace

void KeyspaceReplica::store(Epoch epoch, WriteRange const& writes) {
  checkOneValuePerPosition(entries_, writes.entries);
  if (storedEpoch_ != epoch) {
    storedEpoch_ = epoch;
    ranges_.clear();
  }
  if (writes.full) {
    bool const outdated = appliedEpoch_ == epoch && appliedSequence_ > writes.last;
    if (outdated) return;
    Entries later;
    for (auto const& [key, entry] : entries_)
      if (entry.epoch == epoch && entry.sequence > writes.last) later.emplace(key, entry);
    entries_ = writes.entries;
    for (auto const& [key, entry] : later) entries_[key] = entry;
    appliedEpoch_ = epoch;
    appliedSequence_ = writes.last;
  } else {
    mergeNewer(entries_, writes.entries);
  }
  insertRange(WriteRange{writes.full ? 0 : writes.previous, writes.last, writes.full, writes.entries});
  advanceApplied();
  if (ranges_.size() > maxRanges) mergeAdjacentRanges();
}

/// A full or merged range replaces the ranges that it contains. A range that is received again must not replace one
/// that contains it.
void KeyspaceReplica::insertRange(WriteRange range) {
  auto const containing = ranges_.lower_bound(range.last);
  if (containing != ranges_.end() && containing->second.previous <= range.previous) return;
  std::uint64_t const previous = range.previous;
  std::uint64_t const last = range.last;
  std::erase_if(ranges_, [&](auto const& item) { return item.second.previous >= previous && item.first < last; });
  ranges_[last] = std::move(range);
}

void KeyspaceReplica::advanceApplied() {
  if (appliedEpoch_ != storedEpoch_) return;
  for (auto const& [last, range] : ranges_)
    if (range.previous <= appliedSequence_) appliedSequence_ = std::max(appliedSequence_, last);
}

bool KeyspaceReplica::isComplete() const {
  if (!appliedSequence_) return false;
  return std::all_of(entries_.begin(), entries_.end(), [this](auto const& item) {
    return item.second.epoch == appliedEpoch_ && item.second.sequence <= appliedSequence_;
  });
}

void KeyspaceReplica::reset(Position at, Entries const& entries) {
  entries_ = entries;
  appliedEpoch_ = at.epoch;
  appliedSequence_ = at.sequence;
  storedEpoch_ = at.epoch;
  ranges_.clear();
  if (at.sequence) ranges_[at.sequence] = WriteRange{0, at.sequence, true, entries};
}

void KeyspaceReplica::mergeAdjacentRanges() {
  for (auto range = ranges_.begin(); range != ranges_.end();) {
    auto const next = std::next(range);
    if (next == ranges_.end()) return;
    bool const gap = !next->second.full && next->second.previous > range->first;
    if (gap) {
      range = next;
      continue;
    }
    if (!next->second.full) {
      mergeNewer(range->second.entries, next->second.entries);
      range->second.last = next->first;
      next->second = std::move(range->second);
    }
    ranges_.erase(range);
    range = next;
  }
}

void KeyspaceReplica::applyCommitted(Position at, bool full, Entries const& entries) {
  checkInvariant(Invariant::committedNeverGoesBack, at >= committedAt_, [&] {
    return "from epoch " + std::to_string(committedAt_.epoch.number) + " write " +
           std::to_string(committedAt_.sequence) + " to epoch " + std::to_string(at.epoch.number) + " write " +
           std::to_string(at.sequence);
  });
  if (full) committedValues_.clear();
  for (auto const& [key, entry] : entries) {
    if (entry.deleted)
      committedValues_.erase(key);
    else
      committedValues_[key] = entry.value;
  }
  committedAt_ = at;
}

void KeyspaceReplica::advanceCommitted(Position committed) {
  announcedCommitted_ = std::max(announcedCommitted_, committed);
  if (announcedCommitted_.epoch != storedEpoch_ || appliedEpoch_ != storedEpoch_) return;
  std::uint64_t const limit = std::min(announcedCommitted_.sequence, appliedSequence_);
  while (!ranges_.empty() && ranges_.begin()->first <= limit) {
    WriteRange const& range = ranges_.begin()->second;
    Position const at{appliedEpoch_, range.last};
    if (at > committedAt_) {
      bool const follows = committedAt_.epoch == appliedEpoch_ && range.previous <= committedAt_.sequence;
      if (!range.full && !follows) return;
      applyCommitted(at, range.full, range.entries);
    }
    ranges_.erase(ranges_.begin());
  }
}

}  // namespace tealshelf
