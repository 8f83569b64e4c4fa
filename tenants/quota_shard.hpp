#pragma once
#include "configuration/configuration.hpp"
#include "tenants/credit_shard.hpp"

namespace tealshelf {

/// The shard by which one control node counts the requests of tenants; does no input or output. CreditShard describes
/// how the shards together stay within a limit.
class QuotaShard {
 public:
  explicit QuotaShard(Bounds const& bounds) : QuotaShard(bounds, ShardTiming::of(bounds)) {}
  QuotaShard(Bounds const& bounds, ShardTiming timing)
      : bounds_(bounds), shard_({bounds.quotaWindow, creditLife(bounds), timing}) {}

  /// Installs the limits of a configuration.
  void setConfiguration(std::shared_ptr<Configuration const> configuration, TimePoint now);
  /// Installs the current membership.
  void setMembership(Membership const& membership, Member const& self, TimePoint now) {
    shard_.setMembership(membership, self, now);
  }
  /// Answers a request for a credit; `majorityContact` is that of ContactTracker. Tenants without a limit always get
  /// one while this node may count.
  TakeCreditReply take(string const& tenant, TimePoint majorityContact, TimePoint now);
  /// The use of each tenant that credits were requested for, by name.
  std::map<string, CreditShard::Use> uses(TimePoint now) const { return shard_.uses(now); }

 private:
  Bounds bounds_;
  std::shared_ptr<Configuration const> configuration_;
  CreditShard shard_;
};

}  // namespace tealshelf
