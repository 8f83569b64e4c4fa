#pragma once
#include "base/metrics.hpp"
#include "tenants/messages.hpp"
#include "tenants/shard_choice.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// Leave to send one request to a worker, until it lapses.
struct Credit {
  TimePoint expiresAt = TimePoint::max();
  bool isValid(TimePoint now) const { return now < expiresAt; }
};

/// Has requests counted by the shards of limits that all nodes share, for a data-plane node.
///
/// Runs on the io thread. Everything passed in must outlive it.
class CreditClient {
 public:
  /// Why there is no credit.
  enum class Refusal {
    exhausted,   ///< the limit is used up, as far as it can be told
    unreachable  ///< no shard could tell
  };
  struct Outcome {
    std::optional<Credit> credit;
    Refusal refusal = Refusal::unreachable;  ///< without a credit
  };

  CreditClient(Settings const& settings, RpcClient& rpc, FleetView& view, CreditKind kind, Ms creditLife, Ms window);
  /// Takes a credit for one request of a subject with a limit, by a time.
  Task<Outcome> take(string subject, RateAllowance limit, TimePoint until);
  /// Gives back a credit whose request reached no worker.
  void giveBack(string const& subject, Credit const& credit);
  /// Forgets what lies in the past.
  void sweep();

 private:
  /// The shards of a subject, valid until the next call.
  vector<Member> const& shardsFor(string const& subject, RateAllowance const& limit);
  std::optional<Credit> takeReturned(string const& subject, TimePoint now);
  /// Asks one shard; the credit if it grants one.
  Task<std::optional<Credit>> ask(Member shard, string subject, TimePoint until);
  void noteNotCounting(NodeId shard, string const& subject);

  Settings const& settings_;
  RpcClient& rpc_;
  FleetView& view_;
  CreditKind kind_;
  Ms creditLife_, window_;
  ShardChoice choice_;
  std::map<string, vector<Credit>> returned_;  ///< by subject
  vector<Member> members_;
  std::uint64_t membersRevision_ = 0;
  vector<Member> shardSubset_;  ///< of the subject asked for last, where not all members are its shards
  Counter asked_, granted_;
};

}  // namespace tealshelf
