#pragma once
#include "rollouts/rollout_record.hpp"

namespace tealshelf {

/// The workers of one service by the traffic that they may get. Workers in neither group get none.
struct VersionGroups {
  vector<Worker const*> stable;   ///< get all traffic that doesn't go to `canary`
  vector<Worker const*> canary;   ///< get `canaryShare`; empty unless traffic is split
  std::uint32_t canaryShare = 0;  ///< in thousandths
};

/// Which workers of a service get traffic if no rollout of the service was ever ordered.
enum class NoRolloutPolicy {
  allServe,       ///< workers of all versions
  majorityServes  ///< workers of the version that most workers have: any other needs a rollout first
};

/// Groups the workers of a service that accept requests. A stage uses only as many workers of the target version as its
/// share fills with an ordinary load: if all of them got a little, a fault under load would show in the last stage
/// only.
VersionGroups groupByVersion(vector<Worker const*> const& workers, RolloutRecord const* record, NoRolloutPolicy policy);

/// True if a rollout's record allows requests to workers of a version.
bool isAdmitted(RolloutRecord const& record, string const& version);

/// The version with the most workers; of several, the first by name; "" if there is none.
string majorityVersion(std::map<string, std::size_t> const& workersByVersion);

}  // namespace tealshelf
