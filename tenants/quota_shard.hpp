#pragma once
#include "configuration/configuration.hpp"
#include "tenants/credit_shard.hpp"

namespace tealshelf {

/// This control node's part in counting the requests of tenants; no input or output of its own. What keeps the parts
/// within a limit: CreditShard.
class QuotaShard {
 public:
  explicit QuotaShard(Bounds const& bounds) : QuotaShard(bounds, ShardTiming::of(bounds)) {}
  QuotaShard(Bounds const& bounds, ShardTiming timing)
      : bounds_(bounds), shard_({bounds.quotaWindow, creditLife(bounds), timing}) {}

  /// Takes the limits of a configuration over.
  void setConfiguration(std::shared_ptr<Configuration const> configuration, TimePoint now);
  /// Takes the present membership over.
  void setMembership(Membership const& membership, Member const& self, TimePoint now) {
    shard_.setMembership(membership, self, now);
  }
  /// Answers a question; `majorityContact` as of ContactTracker.
  TakeCreditReply take(string const& tenant, TimePoint majorityContact, TimePoint now);
  /// Of tenants that were asked for, by name.
  std::map<string, CreditShard::Use> uses(TimePoint now) const { return shard_.uses(now); }

 private:
  Bounds bounds_;
  std::shared_ptr<Configuration const> configuration_;
  CreditShard shard_;
};

}  // namespace tealshelf
