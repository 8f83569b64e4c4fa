#include "tenants/credit_shard.hpp"

namespace tealshelf {

namespace {
/// The longest retry delay that a refused node is told is the window divided by this.
constexpr int maxRetryDelayDivisor = 10;

bool contains(vector<Member> const& members, Member const& wanted) {
  return std::any_of(members.begin(), members.end(), [&wanted](Member const& member) {
    return member.id == wanted.id && member.incarnation == wanted.incarnation;
  });
}
}  // namespace

bool CreditShard::countsFor(string const& subject, Bucket const& bucket, vector<Member> const& members) const {
  return contains(shardsOf(members, subject, bucket.total), self_);
}

double CreditShard::divisor(Bucket const& bucket) const {
  std::size_t const members = std::max({membership_.members.size(), largestMemberCount_, std::size_t{1}});
  return static_cast<double>(std::min(members, maxShards(bucket.total)));
}

void CreditShard::refill(Bucket& bucket, TimePoint now) const {
  double const seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
  if (seconds <= 0) return;
  double const parts = divisor(bucket);
  bucket.tokens = std::min(bucket.tokens + seconds * bucket.total.perSecond / parts, bucket.total.burst / parts);
  bucket.refilledAt = now;
}

/// The bucket of a subject that is added after this process has counted for longer than the retention begins full, as
/// no shard can have granted tokens for it. All others begin empty.
CreditShard::Bucket CreditShard::makeBucket(string const& subject, RateAllowance const& total, TimePoint now) const {
  Bucket bucket;
  bucket.total = total;
  bucket.refilledAt = now;
  bool const isNew = firstLimitsAt_ && now - *firstLimitsAt_ > retention();
  if (isNew) bucket.tokens = total.burst / divisor(bucket);
  bucket.noGrantsBefore = mayGrantFrom_;
  bool const wasOwnedElsewhere = membership_.exists() && !countsFor(subject, bucket, membership_.formerMembers);
  if (wasOwnedElsewhere) bucket.noGrantsBefore = now + timing_.shards.takeoverDelay;
  return bucket;
}

void CreditShard::setLimits(std::map<string, RateAllowance> const& limits, TimePoint now) {
  for (auto& [subject, bucket] : buckets_) {
    refill(bucket, now);
    if (bucket.present) bucket.absentSince = now;
    bucket.present = false;
  }
  for (auto const& [subject, total] : limits) {
    auto const known = buckets_.find(subject);
    if (known == buckets_.end()) {
      buckets_.emplace(subject, makeBucket(subject, total, now));
      continue;
    }
    Bucket& bucket = known->second;
    bool const counted = countsFor(subject, bucket, membership_.members);
    bucket.total = total;
    bucket.present = true;
    bucket.tokens = std::min(bucket.tokens, total.burst / divisor(bucket));
    // The set of shards depends on the burst: this node may have become a shard of the subject.
    if (!counted && countsFor(subject, bucket, membership_.members))
      bucket.noGrantsBefore = now + timing_.shards.takeoverDelay;
  }
  // A removed subject keeps its bucket while a window may still hold its grants, in case it is added again.
  std::erase_if(buckets_,
                [&](auto const& item) { return !item.second.present && now - item.second.absentSince > retention(); });
  if (!firstLimitsAt_) firstLimitsAt_ = now;
}

void CreditShard::setMembership(Membership const& membership, Member const& self, TimePoint now) {
  bool const isFirst = !membership_.exists();
  if (membership.number == membership_.number && self == self_) return;
  vector<Member> const before = isFirst ? membership.formerMembers : membership_.members;
  for (auto& [name, bucket] : buckets_) refill(bucket, now);
  if (now >= largestMemberCountUntil_) largestMemberCount_ = 0;
  largestMemberCount_ = std::max(largestMemberCount_, before.size());
  largestMemberCountUntil_ = now + timing_.shards.takeoverDelay;
  membership_ = membership;
  self_ = self;
  if (!contains(before, self_)) mayGrantFrom_ = now + timing_.shards.takeoverDelay;
  for (auto& [name, bucket] : buckets_) {
    bool const wasOwnedElsewhere = !countsFor(name, bucket, before) && countsFor(name, bucket, membership_.members);
    if (wasOwnedElsewhere) bucket.noGrantsBefore = now + timing_.shards.takeoverDelay;
    bucket.tokens = std::min(bucket.tokens, bucket.total.burst / divisor(bucket));
  }
}

bool CreditShard::mayCount(TimePoint majorityContact, TimePoint now) const {
  bool const hasLease = majorityContact != TimePoint() && now - majorityContact <= timing_.shards.lease;
  return hasLease && contains(membership_.members, self_);
}

TakeCreditReply CreditShard::take(string const& subject, TimePoint majorityContact, TimePoint now) {
  TakeCreditReply reply;
  auto const found = buckets_.find(subject);
  bool const hasLimit = found != buckets_.end() && found->second.present;
  if (!hasLimit || !mayCount(majorityContact, now)) return reply;
  if (now >= largestMemberCountUntil_) largestMemberCount_ = 0;
  Bucket& bucket = found->second;
  if (now < bucket.noGrantsBefore || !countsFor(subject, bucket, membership_.members)) return reply;
  refill(bucket, now);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    ++bucket.granted;
    reply.verdict = CreditVerdict::granted;
    return reply;
  }
  ++bucket.refused;
  reply.verdict = CreditVerdict::exhausted;
  // Each refused node gets a later retry time than the one before, so that they don't all ask for the same token.
  double const rate = bucket.total.perSecond / divisor(bucket);
  std::chrono::duration<double> const untilToken((1 - bucket.tokens) / rate), perToken(1 / rate);
  TimePoint const nextToken = now + std::chrono::duration_cast<Clock::duration>(untilToken);
  bucket.nextRetryAt = std::max(nextToken, bucket.nextRetryAt + std::chrono::duration_cast<Clock::duration>(perToken));
  bucket.nextRetryAt = std::min(bucket.nextRetryAt, now + timing_.window / maxRetryDelayDivisor);
  reply.retryAfterMs = std::max<std::int64_t>(1, std::chrono::duration_cast<Ms>(bucket.nextRetryAt - now).count());
  return reply;
}

std::map<string, CreditShard::Use> CreditShard::uses(TimePoint now) const {
  std::map<string, Use> uses;
  for (auto const& [name, bucket] : buckets_) {
    if (!bucket.granted && !bucket.refused) continue;
    Bucket current = bucket;
    refill(current, now);
    double const parts = divisor(bucket);
    RateAllowance const limit{bucket.total.perSecond / parts, bucket.total.burst / parts};
    uses[name] = Use{limit, current.tokens, bucket.granted, bucket.refused};
  }
  return uses;
}

}  // namespace tealshelf
