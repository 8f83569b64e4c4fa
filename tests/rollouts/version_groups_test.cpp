#include "rollouts/version_groups.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
/// Workers of two versions.
struct Workers {
  Workers(int old, int target) {
    for (int i = 0; i < old + target; ++i) {
      Worker worker;
      worker.id = "i-" + std::to_string(i);
      worker.version = i < old ? "v1" : "v2";
      all.push_back(worker);
    }
    for (Worker const& worker : all) pointers.push_back(&worker);
  }
  vector<Worker> all;
  vector<Worker const*> pointers;
};

RolloutRecord record(RolloutState state, std::uint32_t share) {
  RolloutRecord record;
  record.target = "v2";
  record.stable = "v1";
  record.state = state;
  record.share = share;
  return record;
}

bool allHave(vector<Worker const*> const& workers, string const& version) {
  return std::all_of(workers.begin(), workers.end(),
                     [&version](Worker const* worker) { return worker->version == version; });
}
}  // namespace

TEST_GROUP(versionGroups){};

TEST(versionGroups, aNewVersionWithoutARolloutGetsNothing) {
  Workers const workers(10, 10);
  VersionGroups const groups = groupByVersion(workers.pointers, nullptr, NoRolloutPolicy::majorityServes);
  LONGS_EQUAL(10, groups.stable.size());
  CHECK(allHave(groups.stable, "v1"));
  LONGS_EQUAL(0, groups.canary.size());
  LONGS_EQUAL(20, groupByVersion(workers.pointers, nullptr, NoRolloutPolicy::allServe).stable.size());
}
TEST(versionGroups, aStageUsesFewWorkersOfTheNewVersion) {
  Workers const workers(60, 60);
  RolloutRecord const stage = record(RolloutState::serving, 30);
  VersionGroups const groups = groupByVersion(workers.pointers, &stage, NoRolloutPolicy::majorityServes);
  LONGS_EQUAL(60, groups.stable.size());
  LONGS_EQUAL(2, groups.canary.size());
  CHECK(allHave(groups.canary, "v2"));
  LONGS_EQUAL(30, groups.canaryShare);
}
TEST(versionGroups, theLastStageExcludesTheOldVersion) {
  Workers const workers(4, 4);
  for (RolloutRecord const& last :
       {record(RolloutState::serving, fullShare), record(RolloutState::finished, fullShare)}) {
    VersionGroups const groups = groupByVersion(workers.pointers, &last, NoRolloutPolicy::majorityServes);
    LONGS_EQUAL(4, groups.stable.size());
    CHECK(allHave(groups.stable, "v2"));
    CHECK_FALSE(isAdmitted(last, "v1"));
  }
}
TEST(versionGroups, aRevertedVersionGetsNothing) {
  Workers const workers(4, 4);
  RolloutRecord const reverted = record(RolloutState::reverted, 0);
  VersionGroups const groups = groupByVersion(workers.pointers, &reverted, NoRolloutPolicy::majorityServes);
  LONGS_EQUAL(4, groups.stable.size());
  CHECK(allHave(groups.stable, "v1"));
  LONGS_EQUAL(0, groups.canary.size());
}
TEST(versionGroups, aThirdVersionGetsNothingDuringARollout) {
  Workers workers(4, 4);
  workers.all[0].version = "v3";
  RolloutRecord const stage = record(RolloutState::serving, 30);
  VersionGroups const groups = groupByVersion(workers.pointers, &stage, NoRolloutPolicy::majorityServes);
  LONGS_EQUAL(3, groups.stable.size());
  CHECK_FALSE(isAdmitted(stage, "v3"));
}
