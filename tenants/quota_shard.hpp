#pragma once
#include "tenants/messages.hpp"
#include "tenants/quota_shards.hpp"

namespace tealshelf {

/// This control node's part in counting the requests of tenants; no input or output of its own.
///
/// Each member of the control plane has an equal part of each tenant's limit and grants from it alone, so no count has
/// an owner that could be lost or doubled. What must hold is that the parts in use never add up to more than the
/// limit, whatever becomes of the membership:
/// - A process begins with empty buckets: what an earlier one granted can't be granted again.
/// - A shard grants only within a lease since it last had contact with a majority.
/// - A node whose part belonged to another before waits for that lease, and a credit's life, first.
/// - A part grows at once when the membership shrinks only after the same wait, and shrinks at once when it grows.
class QuotaShard {
 public:
  explicit QuotaShard(Bounds const& bounds) : QuotaShard(bounds, ShardTiming::of(bounds)) {}
  QuotaShard(Bounds const& bounds, ShardTiming timing) : bounds_(bounds), timing_(timing) {}

  /// Takes the limits of a configuration over.
  void setConfiguration(std::shared_ptr<Configuration const> configuration, TimePoint now);
  /// Takes the present membership over.
  void setMembership(Membership const& membership, Member const& self, TimePoint now);
  /// Answers a question; `majorityContact` as of ContactTracker.
  TakeCreditReply take(string const& tenant, TimePoint majorityContact, TimePoint now);

  struct Use {
    RateAllowance limit;  ///< this shard's part
    double tokens = 0;
    std::uint64_t granted = 0, refused = 0;
  };
  /// Of tenants that were asked for, by name.
  std::map<string, Use> uses(TimePoint now) const;

 private:
  struct Bucket {
    RateAllowance total;  ///< of all shards
    double tokens = 0;
    TimePoint refilledAt;
    TimePoint waitsUntil;  ///< nothing is granted before
    TimePoint nextSlot;    ///< until when those who were refused are put off
    std::uint64_t granted = 0, refused = 0;
    bool present = true;  ///< the configuration has the tenant, and limits it
    TimePoint absentSince;
  };
  /// By how many the limit of a tenant is divided, as far as this node must assume.
  double divisor(Bucket const& bucket) const;
  bool countsFor(string const& tenant, Bucket const& bucket, vector<Member> const& members) const;
  void refill(Bucket& bucket, TimePoint now) const;
  Bucket makeBucket(string const& tenant, RateAllowance const& total, TimePoint now) const;

  Bounds bounds_;
  ShardTiming timing_;
  std::shared_ptr<Configuration const> configuration_;
  Membership membership_;
  Member self_;
  std::map<string, Bucket> buckets_;
  std::size_t largestSize_ = 0;  ///< of the memberships that may still be in use
  TimePoint largestUntil_;
  TimePoint mayCountFrom_;  ///< a node that became a member counts for nobody before
  std::optional<TimePoint> firstConfigurationAt_;
};

}  // namespace tealshelf
