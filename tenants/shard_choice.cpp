#include "tenants/shard_choice.hpp"

namespace tealshelf {

namespace {
/// The backoff after the first failure of a shard, and the longest one, are inTouch divided by these.
constexpr int initialBackoffDivisor = 16, maxBackoffDivisor = 4;
constexpr int maxBackoffFailures = 4;
/// A subject counts as at its limit for the window divided by this after all its shards were exhausted.
constexpr int atLimitDurationDivisor = 5;
constexpr std::size_t maxAskedAtLimit = 2;
}  // namespace

ShardChoice::ShardChoice(string self, string zone, Ms inTouch, Ms window)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      initialBackoff_(inTouch / initialBackoffDivisor),
      maxBackoff_(inTouch / maxBackoffDivisor),
      atLimitDuration_(window / atLimitDurationDivisor) {}

bool ShardChoice::isExhausted(NodeId shard, string const& subject, TimePoint now) const {
  auto const found = exhausted_.find({subject, shard});
  return found != exhausted_.end() && now < found->second;
}

bool ShardChoice::isBackingOff(NodeId shard, TimePoint now) const {
  auto const found = failures_.find(shard);
  return found != failures_.end() && now < found->second.backoffUntil;
}

std::optional<Member> ShardChoice::next(vector<Member> const& shards, string const& subject,
                                        std::set<NodeId> const& asked, TimePoint now) const {
  Member const* best = nullptr;
  std::pair<bool, std::uint64_t> bestRank;
  std::uint64_t const order = hash64(subject, hash64(self_));
  for (Member const& shard : shards) {
    if (asked.contains(shard.id) || isBackingOff(shard.id, now) || isExhausted(shard.id, subject, now)) continue;
    std::pair<bool, std::uint64_t> const rank(shard.zone != zone_, hash64(shard.name, order));
    if (best && rank >= bestRank) continue;
    best = &shard;
    bestRank = rank;
  }
  if (!best) return std::nullopt;
  return *best;
}

ShardChoice::NoShardReason ShardChoice::noShardReason(vector<Member> const& shards, string const& subject,
                                                      TimePoint now) const {
  for (Member const& shard : shards)
    if (isExhausted(shard.id, subject, now)) return NoShardReason::exhausted;
  return NoShardReason::unreachable;
}

std::size_t ShardChoice::maxAsked(string const& subject, TimePoint now) const {
  auto const found = atLimit_.find(subject);
  bool const isAtLimit = found != atLimit_.end() && now < found->second;
  return isAtLimit ? maxAskedAtLimit : std::numeric_limits<std::size_t>::max();
}

void ShardChoice::noteGranted(NodeId shard, string const& subject) {
  failures_.erase(shard);
  exhausted_.erase({subject, shard});
}

void ShardChoice::noteExhausted(NodeId shard, string const& subject, Ms retryAfter, TimePoint now) {
  failures_.erase(shard);
  exhausted_[{subject, shard}] = now + retryAfter;
}

void ShardChoice::noteAllExhausted(string const& subject, TimePoint now) {
  atLimit_[subject] = now + atLimitDuration_;
}

void ShardChoice::noteFailed(NodeId shard, TimePoint now) {
  Failure& failure = failures_[shard];
  // Concurrent requests to a failed shard fail together; they count as one failure.
  if (now < failure.backoffUntil) return;
  failure.count = std::min(failure.count + 1, maxBackoffFailures);
  failure.backoffUntil = now + std::min(maxBackoff_, initialBackoff_ * (1 << (failure.count - 1)));
}

void ShardChoice::sweep(TimePoint now) {
  std::erase_if(exhausted_, [now](auto const& item) { return item.second <= now; });
  std::erase_if(atLimit_, [now](auto const& item) { return item.second <= now; });
  std::erase_if(failures_, [&](auto const& item) { return item.second.backoffUntil + maxBackoff_ <= now; });
}

}  // namespace tealshelf
