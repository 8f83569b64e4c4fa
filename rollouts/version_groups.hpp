#pragma once
#include "rollouts/rollout_record.hpp"

namespace tealshelf {

/// The workers of one service, by what may be sent to them. Workers in neither group get nothing.
struct VersionGroups {
  vector<Worker const*> stable;   ///< get the traffic that doesn't go to `canary`
  vector<Worker const*> canary;   ///< get the target version's share; empty unless traffic is divided
  std::uint32_t canaryShare = 0;  ///< in thousandths
};

/// How workers are treated whose service was never ordered to move.
enum class NoRolloutPolicy {
  allServe,       ///< where versions are of no concern
  majorityServes  ///< a version that no order lets in gets nothing: the one that most workers have is the old one
};

/// Divides workers of a service that take requests. Of the target's workers only so many take part in a stage that each
/// has an ordinary load: with a trickle for each, a fault under load would stay hidden until the last stage.
VersionGroups groupByVersion(vector<Worker const*> const& workers, RolloutRecord const* record,
                             NoRolloutPolicy unordered);

/// True if a worker of a version may still be sent requests by what a record says.
bool isAdmitted(RolloutRecord const& record, string const& version);

/// The version that most workers have, by how many have each; of several, the one of the smallest name; "" if there are
/// none.
string majorityVersion(std::map<string, std::size_t> const& workersByVersion);

}  // namespace tealshelf
