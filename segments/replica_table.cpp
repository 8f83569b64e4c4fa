#include "segments/replica_table.hpp"

#include "segments/segment_records.hpp"

namespace tealshelf {

namespace {
/// Bytes on disk per replica beyond its items and results, and per result beyond its text.
constexpr std::size_t recordOverheadBytes = 512, storedResultOverheadBytes = 8;

SegmentRecord makeSegmentRecord(SegmentRecordKind kind, LotKey const& key, GenerationStamp stamp,
                                std::uint64_t position = 0) {
  SegmentRecord record;
  record.kind = kind;
  record.host = key.host;
  record.lotId = key.id;
  record.stamp = stamp;
  record.position = position;
  return record;
}

SegmentRecord makeCreateRecord(Replica const& replica) {
  SegmentRecord record = makeSegmentRecord(SegmentRecordKind::create, replica.lot.key(), replica.lot.stamp);
  record.lot = replica.lot;
  record.items = replica.items;
  record.results = replica.results;
  record.intact = replica.intact;
  record.sealed = replica.sealed;
  return record;
}

/// Reduces items to id and tokens: a sealed lot needs its items only to name its results.
string stripItemBodies(string const& items) {
  vector<ItemRecord> records = deserialize<vector<ItemRecord>>(items);
  for (ItemRecord& item : records) item = ItemRecord{std::move(item.id), "", "", {}, item.tokens};
  return serialize(records);
}

/// Applies a logged change to an existing replica.
void applySegmentRecord(Replica& replica, SegmentRecord const& record) {
  vector<string>& results = replica.results;
  // A gap before the position means that an earlier record was lost.
  if (results.size() < record.position) replica.intact = false;
  switch (record.kind) {
    case SegmentRecordKind::append:
      if (results.size() < record.position) break;
      results.resize(record.position);
      results.insert(results.end(), record.results.begin(), record.results.end());
      break;
    case SegmentRecordKind::settle:
      replica.lot.stamp = record.stamp;
      results.resize(std::min<std::size_t>(results.size(), record.position));
      break;
    case SegmentRecordKind::seal:
      results.resize(std::min<std::size_t>(results.size(), record.position));
      replica.items = stripItemBodies(replica.items);
      replica.sealed = true;
      break;
    case SegmentRecordKind::create:
    case SegmentRecordKind::remove:
      break;
  }
}
}  // namespace

std::size_t Replica::bytes() const {
  std::size_t sum = recordOverheadBytes + items.size();
  for (string const& result : results) sum += storedResultOverheadBytes + result.size();
  return sum;
}

Replica& ReplicaTable::findOrAdd(LotKey const& key) {
  auto const [replica, added] = replicas_.try_emplace(key);
  if (added) bytes_ += replica->second.bytes();
  return replica->second;
}

void ReplicaTable::erase(std::map<LotKey, Replica>::iterator replica) {
  bytes_ -= replica->second.bytes();
  replicas_.erase(replica);
}

void ReplicaTable::replay(string const& bytes) {
  SegmentRecord record = deserialize<SegmentRecord>(bytes);
  if (record.kind == SegmentRecordKind::remove) {
    auto const removed = replicas_.find(record.key());
    if (removed != replicas_.end()) erase(removed);
    return;
  }
  if (record.kind == SegmentRecordKind::create) {
    Replica& replica = findOrAdd(record.key());
    change(replica, [&] {
      replica = Replica{record.lot,   std::move(record.items), std::move(record.results), false, record.intact, false,
                        record.sealed};
    });
    return;
  }
  // The replica is missing only if its create record was lost.
  auto const found = replicas_.find(record.key());
  if (found == replicas_.end()) return;
  change(found->second, [&] { applySegmentRecord(found->second, record); });
}

vector<string> ReplicaTable::snapshot() const {
  vector<string> records;
  for (auto const& [key, replica] : replicas_) records.push_back(serialize(makeCreateRecord(replica)));
  return records;
}

void ReplicaTable::create(LotRecord const& lot, string items, vector<string> results) {
  auto const found = replicas_.find(lot.key());
  if (found != replicas_.end()) {
    Replica const& existing = found->second;
    bool const sameStamp = existing.lot.stamp == lot.stamp;
    bool const repairs = !existing.intact && sameStamp;
    if (existing.lot.stamp >= lot.stamp && !repairs) {
      if (sameStamp && existing.results.size() >= results.size()) return;
      throw Error(ErrorCode::staleStamp, lot.id);
    }
  }
  bool const sealed = lot.isSealed();
  if (sealed) items = stripItemBodies(items);
  Replica& replica = findOrAdd(lot.key());
  change(replica, [&] { replica = Replica{lot, std::move(items), std::move(results), true, true, false, sealed}; });
  records_.push_back(serialize(makeCreateRecord(replica)));
}

void ReplicaTable::append(LotKey const& key, GenerationStamp stamp, std::uint64_t from, vector<string> const& records) {
  auto const found = replicas_.find(key);
  if (found == replicas_.end()) throw Error(ErrorCode::staleStamp, key.id);
  Replica& replica = found->second;
  bool const writable = replica.settledSinceStart && replica.intact && !replica.underRecovery && !replica.sealed;
  if (replica.lot.stamp != stamp || !writable) throw Error(ErrorCode::staleStamp, key.id);
  vector<string>& results = replica.results;
  if (from > results.size())
    throw Error(ErrorCode::staleStamp, key.id + ": an append at position " + std::to_string(from) +
                                           " leaves a gap after " + std::to_string(results.size()) + " results");
  std::size_t const known = results.size() - from;
  if (known >= records.size()) return;
  SegmentRecord record = makeSegmentRecord(SegmentRecordKind::append, key, stamp, results.size());
  record.results.assign(records.begin() + static_cast<std::ptrdiff_t>(known), records.end());
  records_.push_back(serialize(record));
  change(replica, [&] { results.insert(results.end(), record.results.begin(), record.results.end()); });
}

InspectReplicaReply ReplicaTable::inspect(LotKey const& key) {
  auto const found = replicas_.find(key);
  if (found == replicas_.end() || !found->second.intact) return InspectReplicaReply{};
  Replica& replica = found->second;
  replica.underRecovery = true;
  return InspectReplicaReply{true, replica.lot.stamp, replica.results.size(), {}};
}

void ReplicaTable::settle(LotKey const& key, GenerationStamp oldStamp, GenerationStamp newStamp, std::uint64_t length) {
  auto const found = replicas_.find(key);
  if (found == replicas_.end() || !found->second.intact) throw Error(ErrorCode::lotUnknown, key.id);
  Replica& replica = found->second;
  bool const inRange = replica.lot.stamp >= oldStamp && replica.lot.stamp < newStamp;
  if (!inRange || replica.sealed || length > replica.results.size()) throw Error(ErrorCode::staleStamp, key.id);
  replica.lot.stamp = newStamp;
  change(replica, [&] { replica.results.resize(length); });
  replica.settledSinceStart = true;
  replica.underRecovery = false;
  records_.push_back(serialize(makeSegmentRecord(SegmentRecordKind::settle, key, newStamp, length)));
}

void ReplicaTable::seal(LotKey const& key, GenerationStamp atLeast, std::uint64_t results) {
  auto const found = replicas_.find(key);
  if (found == replicas_.end() || !found->second.intact) throw Error(ErrorCode::lotUnknown, key.id);
  Replica& replica = found->second;
  if (replica.lot.stamp < atLeast || replica.results.size() < results) throw Error(ErrorCode::staleStamp, key.id);
  if (replica.sealed) return;
  SegmentRecord const record = makeSegmentRecord(SegmentRecordKind::seal, key, replica.lot.stamp, results);
  change(replica, [&] { applySegmentRecord(replica, record); });
  replica.underRecovery = false;
  records_.push_back(serialize(record));
}

void ReplicaTable::requireSettlement(LotKey const& key) {
  auto const found = replicas_.find(key);
  if (found != replicas_.end()) found->second.settledSinceStart = false;
}

void ReplicaTable::markAllDamaged() {
  for (auto& [key, replica] : replicas_) replica.intact = false;
}

bool ReplicaTable::remove(LotKey const& key, GenerationStamp upTo) {
  auto const found = replicas_.find(key);
  if (found == replicas_.end() || found->second.lot.stamp > upTo) return false;
  erase(found);
  records_.push_back(serialize(makeSegmentRecord(SegmentRecordKind::remove, key, upTo)));
  return true;
}

Replica const& ReplicaTable::read(LotKey const& key, GenerationStamp stamp) const {
  Replica const* const replica = find(key);
  if (!replica || replica->lot.stamp != stamp || !replica->intact) throw Error(ErrorCode::staleStamp, key.id);
  return *replica;
}

Replica const& ReplicaTable::readAtLeast(LotKey const& key, GenerationStamp atLeast, std::uint64_t results) const {
  Replica const* const replica = find(key);
  bool const complete =
      replica && replica->intact && replica->lot.stamp >= atLeast && replica->results.size() >= results;
  if (!complete) throw Error(ErrorCode::staleStamp, key.id);
  return *replica;
}

Replica const* ReplicaTable::find(LotKey const& key) const {
  auto const found = replicas_.find(key);
  return found == replicas_.end() ? nullptr : &found->second;
}

bool ReplicaTable::holds(LotKey const& key, GenerationStamp atLeast) const {
  Replica const* const replica = find(key);
  return replica && replica->intact && replica->lot.stamp >= atLeast;
}

vector<ReplicaVersion> ReplicaTable::versions() const {
  vector<ReplicaVersion> versions;
  for (auto const& [key, replica] : replicas_) versions.push_back({key.host, key.id, replica.lot.stamp});
  return versions;
}

}  // namespace tealshelf
