#pragma once
#include "tenants/quota_shards.hpp"

namespace tealshelf {

/// Chooses the control node that a data-plane node asks next for a credit for a subject; does no input or output.
///
/// Shards of the node's own zone come first, in an order that differs between nodes, so that load spreads over them. A
/// shard that failed is skipped for an exponential backoff; one whose share of a subject's limit is used up is skipped,
/// for this subject, for the delay that it replied.
class ShardChoice {
 public:
  /// Why no shard is left to be asked.
  enum class NoShardReason {
    exhausted,   ///< the subject's limit is used up, as far as is known
    unreachable  ///< no shard has answered
  };

  /// `window` is the window of the limits.
  ShardChoice(string self, string zone, Ms inTouch, Ms window);
  /// The next shard to ask, other than those already asked for this request; nothing if none is left.
  std::optional<Member> next(vector<Member> const& shards, string const& subject, std::set<NodeId> const& asked,
                             TimePoint now) const;
  NoShardReason noShardReason(vector<Member> const& shards, string const& subject, TimePoint now) const;
  /// How many shards may be asked for one request: few while the subject is at its limit, as most are exhausted.
  std::size_t maxAsked(string const& subject, TimePoint now) const;

  void noteGranted(NodeId shard, string const& subject);
  void noteExhausted(NodeId shard, string const& subject, Ms retryAfter, TimePoint now);
  /// All available shards were exhausted.
  void noteAllExhausted(string const& subject, TimePoint now);
  void noteFailed(NodeId shard, TimePoint now);
  /// Discards expired state.
  void sweep(TimePoint now);
  std::size_t size() const { return exhausted_.size() + atLimit_.size() + failures_.size(); }

 private:
  struct SubjectAtShard {
    string subject;
    NodeId shard;
    auto operator<=>(SubjectAtShard const&) const = default;
  };
  struct Failure {
    int count = 0;  ///< consecutive failures
    TimePoint backoffUntil;
  };
  bool isExhausted(NodeId shard, string const& subject, TimePoint now) const;
  bool isBackingOff(NodeId shard, TimePoint now) const;

  string self_, zone_;
  Ms initialBackoff_, maxBackoff_, atLimitDuration_;
  std::map<SubjectAtShard, TimePoint> exhausted_;  ///< until when a shard is skipped
  std::map<string, TimePoint> atLimit_;            ///< until when a subject counts as at its limit
  std::map<NodeId, Failure> failures_;
};

}  // namespace tealshelf
