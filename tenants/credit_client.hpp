#pragma once
#include "base/metrics.hpp"
#include "tenants/messages.hpp"
#include "tenants/shard_choice.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// Permission to send one request to a worker before it expires.
struct Credit {
  TimePoint expiresAt = TimePoint::max();
  bool isValid(TimePoint now) const { return now < expiresAt; }
};

/// Obtains credits for a data-plane node from the control nodes that count requests against fleet-wide limits.
///
/// Runs on the io thread. Everything passed in must outlive it.
class CreditClient {
 public:
  /// Why there is no credit.
  enum class Refusal {
    exhausted,   ///< the limit is used up, as far as is known
    unreachable  ///< no shard answered
  };
  struct Outcome {
    std::optional<Credit> credit;
    Refusal refusal = Refusal::unreachable;  ///< valid if there is no credit
  };

  CreditClient(Settings const& settings, RpcClient& rpc, FleetView& view, CreditKind kind, Ms creditLife, Ms window);
  /// Takes a credit for one request of a subject with a limit; gives up at the time `until`.
  Task<Outcome> take(string subject, RateAllowance limit, TimePoint until);
  /// Returns a credit whose request reached no worker, so that another request may use it.
  void giveBack(string const& subject, Credit const& credit);
  /// Discards expired state.
  void sweep();

 private:
  /// The shards of a subject, valid until the next call.
  vector<Member> const& shardsFor(string const& subject, RateAllowance const& limit);
  std::optional<Credit> takeReturned(string const& subject, TimePoint now);
  /// Asks one shard for a credit; nothing if it grants none.
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
  vector<Member> shardSubset_;  ///< result of the last shardsFor call that selected only some members
  Counter asked_, granted_;
};

}  // namespace tealshelf
