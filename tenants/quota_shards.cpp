#include "tenants/quota_shards.hpp"

namespace tealshelf {

vector<Member> shardsOf(vector<Member> const& members, string const& tenant, RateAllowance const& total) {
  std::size_t const count = maxShards(total);
  if (members.size() <= count) return members;
  vector<Member> shards = members;
  std::sort(shards.begin(), shards.end(), [&tenant](Member const& left, Member const& right) {
    return hash64(tenant, left.id.value) < hash64(tenant, right.id.value);
  });
  shards.resize(count);
  return shards;
}

}  // namespace tealshelf
