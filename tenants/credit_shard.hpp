#pragma once
#include "tenants/messages.hpp"
#include "tenants/quota_shards.hpp"

namespace tealshelf {

/// The times by which a shard of a shared limit counts.
struct CreditTiming {
  Ms window{0};        ///< in which the requests of a subject are bounded
  Ms life{0};          ///< of a credit
  ShardTiming shards;  ///< see ShardTiming
};

/// This control node's part in counting requests against limits that all nodes share; no input or output of its own.
///
/// A limit belongs to a subject, such as a tenant or a worker. Each member of the control plane has an equal part of
/// each limit and grants from it alone, so no count has an owner that could be lost or doubled. What must hold is that
/// the parts in use never add up to more than the limit, whatever becomes of the membership:
/// - A process begins with empty buckets: what an earlier one granted can't be granted again.
/// - A shard grants only within a lease since it last had contact with a majority.
/// - A node whose part belonged to another before waits for that lease, and a credit's life, first.
/// - A part grows at once when the membership shrinks only after the same wait, and shrinks at once when it grows.
class CreditShard {
 public:
  explicit CreditShard(CreditTiming timing) : timing_(timing) {}

  /// Takes the limits of all subjects over; subjects that aren't named have none.
  void setLimits(std::map<string, RateAllowance> const& limits, TimePoint now);
  /// Takes the present membership over.
  void setMembership(Membership const& membership, Member const& self, TimePoint now);
  /// True while this node may count for anybody; `majorityContact` as of ContactTracker.
  bool mayCount(TimePoint majorityContact, TimePoint now) const;
  /// Grants a credit for a subject, or says why not.
  TakeCreditReply take(string const& subject, TimePoint majorityContact, TimePoint now);

  struct Use {
    RateAllowance limit;  ///< this shard's part
    double tokens = 0;
    std::uint64_t granted = 0, refused = 0;
  };
  /// Of subjects that were asked for, by name.
  std::map<string, Use> uses(TimePoint now) const;

 private:
  struct Bucket {
    RateAllowance total;  ///< of all shards
    double tokens = 0;
    TimePoint refilledAt;
    TimePoint noGrantsBefore;  ///< nothing is granted before
    TimePoint nextRetryAt;     ///< until when those who were refused are put off
    std::uint64_t granted = 0, refused = 0;
    bool present = true;  ///< the subject has a limit
    TimePoint absentSince;
  };
  /// By how many the limit of a subject is divided, as far as this node must assume.
  double divisor(Bucket const& bucket) const;
  bool countsFor(string const& subject, Bucket const& bucket, vector<Member> const& members) const;
  void refill(Bucket& bucket, TimePoint now) const;
  Bucket makeBucket(string const& subject, RateAllowance const& total, TimePoint now) const;
  /// How long what was granted may still be in a window.
  Ms retention() const { return timing_.window + timing_.life; }

  CreditTiming timing_;
  Membership membership_;
  Member self_;
  std::map<string, Bucket> buckets_;
  std::size_t largestMemberCount_ = 0;  ///< of the memberships that may still be in use
  TimePoint largestMemberCountUntil_;
  TimePoint mayGrantFrom_;  ///< a node that became a member counts for nobody before
  std::optional<TimePoint> firstLimitsAt_;
};

}  // namespace tealshelf
