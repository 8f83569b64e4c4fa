#include "tenants/quota_shard.hpp"

namespace tealshelf {

namespace {
/// The longest time for which an edge is put off, in parts of the window.
constexpr int windowInLongestPause = 10;

bool contains(vector<Member> const& members, Member const& wanted) {
  return std::any_of(members.begin(), members.end(), [&wanted](Member const& member) {
    return member.id == wanted.id && member.incarnation == wanted.incarnation;
  });
}
}  // namespace

bool QuotaShard::countsFor(string const& tenant, Bucket const& bucket, vector<Member> const& members) const {
  return contains(shardsOf(members, tenant, bucket.total), self_);
}

double QuotaShard::divisor(Bucket const& bucket) const {
  std::size_t const members = std::max({membership_.members.size(), largestSize_, std::size_t{1}});
  return static_cast<double>(std::min(members, maxShards(bucket.total)));
}

void QuotaShard::refill(Bucket& bucket, TimePoint now) const {
  double const seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
  if (seconds <= 0) return;
  double const parts = divisor(bucket);
  bucket.tokens = std::min(bucket.tokens + seconds * bucket.total.perSecond / parts, bucket.total.burst / parts);
  bucket.refilledAt = now;
}

/// A tenant that came while this process has long been counting had no tokens anywhere before, so that its bucket may
/// begin full. All others begin empty.
QuotaShard::Bucket QuotaShard::makeBucket(string const& tenant, RateAllowance const& total, TimePoint now) const {
  Bucket bucket;
  bucket.total = total;
  bucket.refilledAt = now;
  bool const isNew = firstConfigurationAt_ && now - *firstConfigurationAt_ > bounds_.quotaWindow + creditLife(bounds_);
  if (isNew) bucket.tokens = total.burst / divisor(bucket);
  bucket.waitsUntil = mayCountFrom_;
  bool const isTakenOver = membership_.exists() && !countsFor(tenant, bucket, membership_.formerMembers);
  if (isTakenOver) bucket.waitsUntil = now + timing_.takeOver;
  return bucket;
}

void QuotaShard::setConfiguration(std::shared_ptr<Configuration const> configuration, TimePoint now) {
  for (auto& [name, bucket] : buckets_) {
    refill(bucket, now);
    if (bucket.present) bucket.absentSince = now;
    bucket.present = false;
  }
  for (Tenant const& tenant : configuration->tenants) {
    if (!tenant.isLimited()) continue;
    RateAllowance const total = totalAllowance(tenant, bounds_);
    auto const known = buckets_.find(tenant.name);
    if (known == buckets_.end()) {
      buckets_.emplace(tenant.name, makeBucket(tenant.name, total, now));
      continue;
    }
    Bucket& bucket = known->second;
    bool const counted = countsFor(tenant.name, bucket, membership_.members);
    bucket.total = total;
    bucket.present = true;
    bucket.tokens = std::min(bucket.tokens, total.burst / divisor(bucket));
    // The set of shards depends on the burst.
    if (!counted && countsFor(tenant.name, bucket, membership_.members)) bucket.waitsUntil = now + timing_.takeOver;
  }
  // What a tenant spent must not be forgotten while a window may still hold it, also if it is put back.
  std::erase_if(buckets_, [&](auto const& item) {
    return !item.second.present && now - item.second.absentSince > bounds_.quotaWindow + creditLife(bounds_);
  });
  if (!firstConfigurationAt_) firstConfigurationAt_ = now;
  configuration_ = std::move(configuration);
}

void QuotaShard::setMembership(Membership const& membership, Member const& self, TimePoint now) {
  bool const isFirst = !membership_.exists();
  if (membership.number == membership_.number && self == self_) return;
  vector<Member> const before = isFirst ? membership.formerMembers : membership_.members;
  for (auto& [name, bucket] : buckets_) refill(bucket, now);
  if (now >= largestUntil_) largestSize_ = 0;
  largestSize_ = std::max(largestSize_, before.size());
  largestUntil_ = now + timing_.takeOver;
  membership_ = membership;
  self_ = self;
  if (!contains(before, self_)) mayCountFrom_ = now + timing_.takeOver;
  for (auto& [name, bucket] : buckets_) {
    bool const isTakenOver = !countsFor(name, bucket, before) && countsFor(name, bucket, membership_.members);
    if (isTakenOver) bucket.waitsUntil = now + timing_.takeOver;
    bucket.tokens = std::min(bucket.tokens, bucket.total.burst / divisor(bucket));
  }
}

TakeCreditReply QuotaShard::take(string const& tenant, TimePoint majorityContact, TimePoint now) {
  TakeCreditReply reply;
  Tenant const* const known = configuration_ ? configuration_->findTenant(tenant) : nullptr;
  if (!known) return reply;
  bool const hasLease = majorityContact != TimePoint() && now - majorityContact <= timing_.lease;
  if (!hasLease || !contains(membership_.members, self_)) return reply;
  if (!known->isLimited()) {
    reply.verdict = CreditVerdict::granted;
    return reply;
  }
  if (now >= largestUntil_) largestSize_ = 0;
  Bucket& bucket = buckets_.at(tenant);
  if (now < bucket.waitsUntil || !countsFor(tenant, bucket, membership_.members)) return reply;
  refill(bucket, now);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    ++bucket.granted;
    reply.verdict = CreditVerdict::granted;
    return reply;
  }
  ++bucket.refused;
  reply.verdict = CreditVerdict::exhausted;
  // Each of those who are refused is put off until its turn, so that many edges don't ask for one token.
  double const rate = bucket.total.perSecond / divisor(bucket);
  std::chrono::duration<double> const untilToken((1 - bucket.tokens) / rate), perToken(1 / rate);
  TimePoint const nextToken = now + std::chrono::duration_cast<Clock::duration>(untilToken);
  bucket.nextSlot = std::max(nextToken, bucket.nextSlot + std::chrono::duration_cast<Clock::duration>(perToken));
  bucket.nextSlot = std::min(bucket.nextSlot, now + bounds_.quotaWindow / windowInLongestPause);
  reply.retryAfterMs = std::max<std::int64_t>(1, std::chrono::duration_cast<Ms>(bucket.nextSlot - now).count());
  return reply;
}

std::map<string, QuotaShard::Use> QuotaShard::uses(TimePoint now) const {
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
