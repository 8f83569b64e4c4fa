#include "workers/worker_registry.hpp"

namespace tealshelf {

namespace {
/// A removed or lost worker is dropped after this multiple of the time after which a worker is lost.
constexpr int forgetAfterLost = 16;
}  // namespace

bool WorkerRegistry::isLate(Worker const& worker) const {
  Worker const* const known = find(worker.id);
  if (!known) return false;
  return known->removed ? !worker.removed : known->heartbeatSequence > worker.heartbeatSequence;
}

bool WorkerRegistry::merge(Worker const& worker, TimePoint now) {
  auto const found = rows_.find(worker.id);
  if (found == rows_.end()) return insert(worker, now);
  if (worker.lost) return markLost(found->second, worker);
  return update(found->second, worker, now);
}

bool WorkerRegistry::insert(Worker const& worker, TimePoint now) {
  if (worker.lost) return false;
  Row& row = rows_[worker.id];
  row.worker = worker;
  row.heardAt = row.reportedAt = now;
  noteChange(row);
  if (worker.registrar == self_) transitions_.push_back(worker);
  return true;
}

/// Only its registrar may report a worker as lost.
bool WorkerRegistry::markLost(Row& row, Worker const& report) {
  bool const byRegistrar = row.worker.registrar == report.registrar;
  if (row.lost || row.worker.removed || !byRegistrar || report.heartbeatSequence < row.worker.heartbeatSequence)
    return false;
  row.lost = true;
  noteChange(row);
  return true;
}

bool WorkerRegistry::update(Row& row, Worker const& worker, TimePoint now) {
  Worker& known = row.worker;
  if (known.removed) return false;
  // A worker's own heartbeat carries no ejection; the registrar's decision stays in force.
  std::uint64_t const ejectionRevision = std::max(worker.ejectionRevision, known.ejectionRevision);
  bool const newerEjection = worker.ejectionRevision && worker.ejectionRevision >= known.ejectionRevision;
  bool const ejected = newerEjection ? worker.ejected : known.ejected;
  bool const nothingNew =
      worker.heartbeatSequence <= known.heartbeatSequence && ejectionRevision == known.ejectionRevision;
  if (nothingNew && !worker.removed) return false;
  // Draining is final.
  bool const draining = known.draining || worker.draining;
  // Another node's report of an ejection may be older than the last heartbeat.
  bool const warmingUp = worker.heartbeatSequence >= known.heartbeatSequence ? worker.warmingUp : known.warmingUp;
  // A heartbeat received after a change of the evacuation stays acknowledged.
  std::uint64_t const evacuationRevision = std::max(worker.evacuationRevision, known.evacuationRevision);
  bool const changed = row.lost || worker.removed != known.removed || draining != known.draining ||
                       worker.address != known.address || worker.service != known.service ||
                       worker.capacity != known.capacity || ejected != known.ejected || warmingUp != known.warmingUp ||
                       evacuationRevision != known.evacuationRevision;
  bool const moved = worker.registrar != known.registrar;
  std::uint64_t const heartbeatSequence = std::max(worker.heartbeatSequence, known.heartbeatSequence);
  known = worker;
  known.heartbeatSequence = heartbeatSequence;
  known.draining = draining;
  known.ejectionRevision = ejectionRevision;
  known.ejected = ejected;
  known.warmingUp = warmingUp;
  known.evacuationRevision = evacuationRevision;
  row.heardAt = row.reportedAt = now;
  row.lost = false;
  if (changed) noteChange(row);
  if ((changed || moved) && worker.registrar == self_) transitions_.push_back(known);
  return changed;
}

void WorkerRegistry::noteChange(Row& row) {
  row.revision = ++revision_;
  bool const isPresent = !row.lost && !row.worker.removed;
  digest_.subtract(row.worker.id, row.hash);
  row.hash = isPresent ? RegistryDigest::hashOf(row.worker) : 0;
  digest_.add(row.worker.id, row.hash);
}

bool WorkerRegistry::mergeAll(vector<Worker> const& workers, NodeId from, TimePoint now) {
  return mergeNamed(workers, from, now, now, [](string const&) { return true; });
}

bool WorkerRegistry::mergeBuckets(vector<Worker> const& workers, std::set<std::uint32_t> const& buckets, NodeId from,
                                  TimePoint askedAt, TimePoint now) {
  return mergeNamed(workers, from, askedAt, now, [&buckets](string const& id) {
    return buckets.contains(static_cast<std::uint32_t>(RegistryDigest::bucketOf(id)));
  });
}

bool WorkerRegistry::mergeNamed(vector<Worker> const& workers, NodeId from, TimePoint askedAt, TimePoint now,
                                std::function<bool(string const&)> const& covers) {
  bool changed = false;
  std::set<string> named;
  for (Worker const& worker : workers) {
    named.insert(worker.id);
    changed = merge(worker, now) || changed;
  }
  for (auto& [id, row] : rows_) {
    bool const isItsOwn = !row.lost && !row.worker.removed && row.worker.registrar == from;
    if (!isItsOwn || row.reportedAt > askedAt || named.contains(id) || !covers(id)) continue;
    row.lost = true;
    noteChange(row);
    changed = true;
  }
  return changed;
}

void WorkerRegistry::setEjected(string const& id, bool ejected) {
  auto const found = rows_.find(id);
  if (found == rows_.end() || found->second.worker.ejected == ejected) return;
  Row& row = found->second;
  row.worker.ejected = ejected;
  ++row.worker.ejectionRevision;
  noteChange(row);
  transitions_.push_back(row.worker);
}

void WorkerRegistry::noteRegistrarAlive(NodeId registrar, TimePoint now) {
  for (auto& [id, row] : rows_)
    if (row.worker.registrar == registrar) row.heardAt = now;
}

bool WorkerRegistry::expire(TimePoint now) {
  std::erase_if(rows_, [&](auto const& item) {
    Row const& row = item.second;
    return (row.worker.removed || row.lost) && now - row.heardAt > forgetAfterLost * lostAfter_;
  });
  bool anyLost = false;
  for (auto& [id, row] : rows_) {
    if (row.lost || row.worker.removed || now - row.heardAt <= lostAfter_) continue;
    row.lost = true;
    noteChange(row);
    anyLost = true;
    if (row.worker.registrar != self_) continue;
    transitions_.push_back(row.worker);
    transitions_.back().lost = true;
  }
  return anyLost;
}

vector<Worker> WorkerRegistry::changedSince(std::uint64_t revision) const {
  vector<Worker> workers;
  for (auto const& [id, row] : rows_) {
    if (row.revision <= revision) continue;
    workers.push_back(row.worker);
    if (row.lost) workers.back().removed = true;
  }
  return workers;
}

vector<Worker> WorkerRegistry::present(std::uint64_t sinceRevision) const {
  vector<Worker> workers;
  for (auto const& [id, row] : rows_)
    if (!row.lost && row.revision > sinceRevision) workers.push_back(row.worker);
  return workers;
}

void WorkerRegistry::forEachPresent(std::function<void(Worker const&)> const& take) const {
  for (auto const& [id, row] : rows_)
    if (!row.lost && !row.worker.removed) take(row.worker);
}

vector<Worker> WorkerRegistry::presentIn(std::set<std::uint32_t> const& buckets) const {
  vector<Worker> workers;
  for (auto const& [id, row] : rows_)
    if (!row.lost && buckets.contains(static_cast<std::uint32_t>(RegistryDigest::bucketOf(id))))
      workers.push_back(row.worker);
  return workers;
}

Worker const* WorkerRegistry::find(string const& id) const {
  auto const found = rows_.find(id);
  return found == rows_.end() ? nullptr : &found->second.worker;
}

}  // namespace tealshelf
