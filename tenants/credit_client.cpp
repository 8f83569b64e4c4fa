#include "tenants/credit_client.hpp"

namespace tealshelf {

namespace {
/// A shard that doesn't answer within inTouch divided by this counts as failed.
constexpr int shardTimeoutDivisor = 64;
/// A shard that doesn't count for a worker yet is asked again after the window divided by this.
constexpr int notCountingRetryDivisor = 10;

string nameOf(CreditKind kind) {
  return kind == CreditKind::tenant ? "quota" : "warm_up";
}
}  // namespace

CreditClient::CreditClient(Settings const& settings, RpcClient& rpc, FleetView& view, CreditKind kind, Ms creditLife,
                           Ms window)
    : settings_(settings),
      rpc_(rpc),
      view_(view),
      kind_(kind),
      creditLife_(creditLife),
      window_(window),
      choice_(settings.nodeName, settings.zone, settings.bounds.inTouch, window),
      asked_(
          metrics().counter("tealshelf_" + nameOf(kind) + "_questions_total", "Credits that shards were asked for.")),
      granted_(metrics().counter("tealshelf_" + nameOf(kind) + "_granted_total", "Credits that shards granted.")) {}

std::optional<Credit> CreditClient::takeReturned(string const& subject, TimePoint now) {
  auto const found = returned_.find(subject);
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

void CreditClient::giveBack(string const& subject, Credit const& credit) {
  if (credit.isValid(Clock::now())) returned_[subject].push_back(credit);
}

vector<Member> const& CreditClient::shardsFor(string const& subject, RateAllowance const& limit) {
  if (membersRevision_ != view_.membersRevision()) {
    membersRevision_ = view_.membersRevision();
    members_ = view_.members();
  }
  if (members_.size() <= maxShards(limit)) return members_;
  shardSubset_ = shardsOf(members_, subject, limit);
  return shardSubset_;
}

Task<CreditClient::Outcome> CreditClient::take(string subject, RateAllowance limit, TimePoint until) {
  if (std::optional<Credit> const credit = takeReturned(subject, Clock::now()))
    co_return Outcome{*credit, Refusal::unreachable};
  // Copied, as the members may change during the calls below.
  vector<Member> const shards = shardsFor(subject, limit);
  std::size_t const most = choice_.maxAsked(subject, Clock::now());
  std::set<NodeId> asked;
  while (asked.size() < most && Clock::now() < until) {
    std::optional<Member> const shard = choice_.next(shards, subject, asked, Clock::now());
    if (!shard) break;
    asked.insert(shard->id);
    std::optional<Credit> const credit = co_await ask(*shard, subject, until);
    if (credit) co_return Outcome{*credit, Refusal::unreachable};
  }
  TimePoint const now = Clock::now();
  if (choice_.noShardReason(shards, subject, now) != ShardChoice::NoShardReason::exhausted) co_return Outcome();
  if (!choice_.next(shards, subject, {}, now)) choice_.noteAllExhausted(subject, now);
  co_return Outcome{std::nullopt, Refusal::exhausted};
}

Task<std::optional<Credit>> CreditClient::ask(Member shard, string subject, TimePoint until) {
  TimePoint const askedAt = Clock::now();
  Ms const limit =
      std::min(settings_.bounds.inTouch / shardTimeoutDivisor, Ms(std::max<std::int64_t>(1, remainingMs(until))));
  asked_.increment();
  TakeCreditReply reply;
  try {
    TakeCredit const request{subject, kind_};
    reply = co_await rpc_.call(settings_.controlAddress(shard.ip), request, limit);
  } catch (Error const& error) {
    logDebug("quota", "credit request to shard " + shard.name + " failed: " + error.what());
    choice_.noteFailed(shard.id, Clock::now());
    co_return std::nullopt;
  }
  switch (reply.verdict) {
    case CreditVerdict::granted:
      choice_.noteGranted(shard.id, subject);
      granted_.increment();
      // The life begins with the request, which is no later than the grant.
      co_return Credit{askedAt + creditLife_};
    case CreditVerdict::exhausted:
      choice_.noteExhausted(shard.id, subject, Ms(reply.retryAfterMs), Clock::now());
      break;
    case CreditVerdict::notCounting:
      noteNotCounting(shard.id, subject);
      break;
  }
  co_return std::nullopt;
}

/// A shard that doesn't count for one tenant counts for none. A single worker may just not be known to it yet.
void CreditClient::noteNotCounting(NodeId shard, string const& subject) {
  if (kind_ == CreditKind::tenant)
    choice_.noteFailed(shard, Clock::now());
  else
    choice_.noteExhausted(shard, subject, window_ / notCountingRetryDivisor, Clock::now());
}

void CreditClient::sweep() {
  TimePoint const now = Clock::now();
  choice_.sweep(now);
  for (auto& [subject, credits] : returned_)
    std::erase_if(credits, [now](Credit const& credit) { return !credit.isValid(now); });
  std::erase_if(returned_, [](auto const& item) { return item.second.empty(); });
}

}  // namespace tealshelf
