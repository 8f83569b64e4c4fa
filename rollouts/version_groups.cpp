#include "rollouts/version_groups.hpp"

namespace tealshelf {

namespace {
bool isOld(RolloutRecord const& record, string const& version) {
  return version != record.target && (record.stable.empty() || version == record.stable);
}

/// The workers of the target version that get a stage's share. Sorted by hash, so that all nodes choose the same ones.
vector<Worker const*> canaryWorkers(vector<Worker const*> targets, std::uint32_t share) {
  double const part = static_cast<double>(share) / fullShare;
  double const wanted = std::ceil(part * static_cast<double>(targets.size()));
  std::size_t const count = std::max<std::size_t>(1, static_cast<std::size_t>(wanted));
  std::sort(targets.begin(), targets.end(),
            [](Worker const* left, Worker const* right) { return hash64(left->id) < hash64(right->id); });
  if (targets.size() > count) targets.resize(count);
  return targets;
}
}  // namespace

string majorityVersion(std::map<string, std::size_t> const& workersByVersion) {
  string best;
  std::size_t most = 0;
  for (auto const& [version, count] : workersByVersion) {
    if (count <= most) continue;
    best = version;
    most = count;
  }
  return best;
}

bool isAdmitted(RolloutRecord const& record, string const& version) {
  if (record.servesOnlyTarget()) return version == record.target;
  if (isOld(record, version)) return true;
  return record.isServing() && record.share > 0 && version == record.target;
}

VersionGroups groupByVersion(vector<Worker const*> const& workers, RolloutRecord const* record,
                             NoRolloutPolicy policy) {
  VersionGroups groups;
  if (!record) {
    std::map<string, std::size_t> counts;
    for (Worker const* const worker : workers) ++counts[worker->version];
    string const admitted = majorityVersion(counts);
    for (Worker const* const worker : workers)
      if (policy == NoRolloutPolicy::allServe || worker->version == admitted) groups.stable.push_back(worker);
    return groups;
  }
  vector<Worker const*> targets;
  for (Worker const* const worker : workers) {
    if (!isAdmitted(*record, worker->version)) continue;
    (worker->version == record->target ? targets : groups.stable).push_back(worker);
  }
  if (record->servesOnlyTarget()) {
    groups.stable = std::move(targets);
  } else if (!targets.empty()) {
    groups.canary = canaryWorkers(std::move(targets), record->share);
    groups.canaryShare = record->share;
  }
  return groups;
}

}  // namespace tealshelf
