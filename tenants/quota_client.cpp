#include "tenants/quota_client.hpp"

#include "tenants/messages.hpp"

namespace tealshelf {

namespace {
/// A shard that hasn't answered for this part of inTouch is taken for failed.
constexpr int askLimitPart = 64;
}  // namespace

QuotaClient::QuotaClient(Settings const& settings, RpcClient& rpc, FleetView& view)
    : settings_(settings), rpc_(rpc), view_(view), choice_(settings.nodeName, settings.zone, settings.bounds) {}

std::optional<Credit> QuotaClient::takeReturned(string const& tenant, TimePoint now) {
  auto const found = returned_.find(tenant);
  if (found == returned_.end()) return std::nullopt;
  vector<Credit>& credits = found->second;
  while (!credits.empty()) {
    Credit const credit = credits.back();
    credits.pop_back();
    if (credit.isValid(now)) return credit;
  }
  returned_.erase(found);
  return std::nullopt;
}

void QuotaClient::giveBack(string const& tenant, Credit const& credit) {
  if (credit.isValid(Clock::now())) returned_[tenant].push_back(credit);
}

vector<Member> const& QuotaClient::shardsFor(Tenant const& tenant) {
  if (membersRevision_ != view_.membersRevision()) {
    membersRevision_ = view_.membersRevision();
    members_ = view_.members();
  }
  RateAllowance const total = totalAllowance(tenant, settings_.bounds);
  if (members_.size() <= maxShards(total)) return members_;
  fewShards_ = shardsOf(members_, tenant.name, total);
  return fewShards_;
}

Task<Credit> QuotaClient::take(Tenant tenant, TimePoint until) {
  if (std::optional<Credit> const credit = takeReturned(tenant.name, Clock::now())) co_return *credit;
  // Copied: the members may change while this waits.
  vector<Member> const shards = shardsFor(tenant);
  std::size_t const most = choice_.maxAsked(tenant.name, Clock::now());
  std::set<NodeId> asked;
  while (asked.size() < most && Clock::now() < until) {
    std::optional<Member> const shard = choice_.next(shards, tenant.name, asked, Clock::now());
    if (!shard) break;
    asked.insert(shard->id);
    std::optional<Credit> const credit = co_await ask(*shard, tenant.name, until);
    if (credit) co_return *credit;
  }
  TimePoint const now = Clock::now();
  if (choice_.obstacle(shards, tenant.name, now) == ShardChoice::Obstacle::exhausted) {
    if (!choice_.next(shards, tenant.name, {}, now)) choice_.noteAllExhausted(tenant.name, now);
    overRate_.increment();
    throw Error(ErrorCode::overRate);
  }
  unknown_.increment();
  throw Error(ErrorCode::quotaUnknown);
}

Task<std::optional<Credit>> QuotaClient::ask(Member shard, string tenant, TimePoint until) {
  TimePoint const askedAt = Clock::now();
  Ms const limit = std::min(settings_.bounds.inTouch / askLimitPart, Ms(std::max<std::int64_t>(1, remainingMs(until))));
  asked_.increment();
  TakeCreditReply reply;
  try {
    TakeCredit const question{tenant};
    reply = co_await rpc_.call(settings_.controlAddress(shard.ip), question, limit);
  } catch (Error const& error) {
    logDebug("quota", shard.name + " doesn't count: " + error.what());
    choice_.noteFailed(shard.id, Clock::now());
    co_return std::nullopt;
  }
  switch (reply.verdict) {
    case CreditVerdict::granted:
      choice_.noteGranted(shard.id, tenant);
      granted_.increment();
      // By the time of the question, which can't be later than the grant.
      co_return Credit{askedAt + creditLife(settings_.bounds)};
    case CreditVerdict::exhausted:
      choice_.noteExhausted(shard.id, tenant, Ms(reply.retryAfterMs), Clock::now());
      break;
    case CreditVerdict::notCounting:
      choice_.noteFailed(shard.id, Clock::now());
      break;
  }
  co_return std::nullopt;
}

void QuotaClient::sweep() {
  TimePoint const now = Clock::now();
  choice_.sweep(now);
  for (auto& [tenant, credits] : returned_)
    std::erase_if(credits, [now](Credit const& credit) { return !credit.isValid(now); });
  std::erase_if(returned_, [](auto const& item) { return item.second.empty(); });
}

}  // namespace tealshelf
