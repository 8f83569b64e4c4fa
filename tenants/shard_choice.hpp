#pragma once
#include "tenants/quota_shards.hpp"

namespace tealshelf {

/// Which control node a data-plane node asks next to count a request of a subject; no input or output of its own.
///
/// Those of its own zone come first, in an order of its own, so that edges spread over them. A node that failed rests
/// for a growing time; one whose part of a subject's limit is used up is left out, for this subject, as long as it
/// said.
class ShardChoice {
 public:
  /// What stands in the way of a credit where no shard is left to be asked.
  enum class NoShardReason {
    exhausted,   ///< the subject's limit is used up, as far as it can be told
    unreachable  ///< no shard answers
  };

  /// `window` is that of the limits.
  ShardChoice(string self, string zone, Ms inTouch, Ms window);
  /// The next shard to ask for a request that was tried at others before; nothing if none is left.
  std::optional<Member> next(vector<Member> const& shards, string const& subject, std::set<NodeId> const& asked,
                             TimePoint now) const;
  NoShardReason noShardReason(vector<Member> const& shards, string const& subject, TimePoint now) const;
  /// How many shards a request may ask: few while the subject is at its limit, as most have nothing left.
  std::size_t maxAsked(string const& subject, TimePoint now) const;

  void noteGranted(NodeId shard, string const& subject);
  void noteExhausted(NodeId shard, string const& subject, Ms retryAfter, TimePoint now);
  /// All shards that could be asked had nothing left.
  void noteAllExhausted(string const& subject, TimePoint now);
  void noteFailed(NodeId shard, TimePoint now);
  /// Forgets what lies in the past.
  void sweep(TimePoint now);
  std::size_t size() const { return exhausted_.size() + atLimit_.size() + failures_.size(); }

 private:
  struct SubjectAtShard {
    string subject;
    NodeId shard;
    auto operator<=>(SubjectAtShard const&) const = default;
  };
  struct Failure {
    int count = 0;  ///< in a row
    TimePoint backoffUntil;
  };
  bool isExhausted(NodeId shard, string const& subject, TimePoint now) const;
  bool isBackingOff(NodeId shard, TimePoint now) const;

  string self_, zone_;
  Ms initialBackoff_, maxBackoff_, atLimitDuration_;
  std::map<SubjectAtShard, TimePoint> exhausted_;  ///< until when
  std::map<string, TimePoint> atLimit_;            ///< until when a subject counts as at its limit
  std::map<NodeId, Failure> failures_;
};

}  // namespace tealshelf
