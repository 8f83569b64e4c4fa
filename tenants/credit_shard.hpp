#pragma once
#include "tenants/messages.hpp"
#include "tenants/quota_shards.hpp"

namespace tealshelf {

/// The durations that a shard of a fleet-wide limit uses.
struct CreditTiming {
  Ms window{0};        ///< in which the number of requests of a subject is bounded
  Ms life{0};          ///< how long a credit is valid
  ShardTiming shards;  ///< see ShardTiming
};

/// The token buckets by which one control node counts requests against fleet-wide limits; does no input or output.
///
/// A limit belongs to a subject, such as a tenant or a worker. Each member of the control plane has an equal share of
/// each limit and grants from it independently, so there is no single counter that could be lost or duplicated. The
/// invariant is that the shares in use never add up to more than the limit, whatever changes of membership happen:
/// - A process begins with empty buckets, so that it can't grant again what an earlier process granted.
/// - A shard grants only while its last contact with a majority is no older than a lease.
/// - A node that takes over the share of another first waits for that lease plus the life of a credit.
/// - When the membership shrinks, shares grow only after the same delay; when it grows, they shrink at once.
class CreditShard {
 public:
  explicit CreditShard(CreditTiming timing) : timing_(timing) {}

  /// Replaces the limits of all subjects; a subject that isn't named has no limit and gets no credits.
  void setLimits(std::map<string, RateAllowance> const& limits, TimePoint now);
  /// Installs the current membership.
  void setMembership(Membership const& membership, Member const& self, TimePoint now);
  /// True while this node may grant credits at all; `majorityContact` is that of ContactTracker.
  bool mayCount(TimePoint majorityContact, TimePoint now) const;
  /// Grants a credit for a subject, or replies why not.
  TakeCreditReply take(string const& subject, TimePoint majorityContact, TimePoint now);

  struct Use {
    RateAllowance limit;  ///< this shard's share
    double tokens = 0;
    std::uint64_t granted = 0, refused = 0;
  };
  /// The use of each subject that credits were requested for, by name.
  std::map<string, Use> uses(TimePoint now) const;

 private:
  struct Bucket {
    RateAllowance total;  ///< limit of all shards together
    double tokens = 0;
    TimePoint refilledAt;
    TimePoint noGrantsBefore;  ///< end of the takeover delay
    TimePoint nextRetryAt;     ///< the last retry time that a refused node was told
    std::uint64_t granted = 0, refused = 0;
    bool present = true;  ///< the subject has a limit
    TimePoint absentSince;
  };
  /// The number of shares of a subject's limit, by the largest membership that may still be in use.
  double divisor(Bucket const& bucket) const;
  bool countsFor(string const& subject, Bucket const& bucket, vector<Member> const& members) const;
  void refill(Bucket& bucket, TimePoint now) const;
  Bucket makeBucket(string const& subject, RateAllowance const& total, TimePoint now) const;
  /// How long after a grant its request may still be in a window.
  Ms retention() const { return timing_.window + timing_.life; }

  CreditTiming timing_;
  Membership membership_;
  Member self_;
  std::map<string, Bucket> buckets_;
  std::size_t largestMemberCount_ = 0;  ///< largest size of the memberships that may still be in use
  TimePoint largestMemberCountUntil_;
  TimePoint mayGrantFrom_;  ///< end of the takeover delay of a node that became a member
  std::optional<TimePoint> firstLimitsAt_;
};

}  // namespace tealshelf
