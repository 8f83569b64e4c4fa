#pragma once

/// What a data-plane node must do before it sends a request to a worker that may warm up.
namespace tealshelf {

/// What a node knows of a worker.
struct WarmUpKnowledge {
  bool isBounded = false;       ///< workers of its service may be sent little while they warm up
  bool mayBeWarmingUp = false;  ///< by the last that was heard
  bool isRecent = false;        ///< what the node knows of the fleet is recent
};

enum class WarmUpStep {
  send,        ///< nothing
  takeCredit,  ///< have the request counted for all nodes together
  probe,       ///< ask the worker itself whether it is warm
  pass         ///< choose another worker
};

/// A worker that is known to warm up gets counted requests only. A node whose knowledge is old can't have them counted
/// and can't know who has gone cold since: it passes over whom it knows as cold, and asks all others.
constexpr WarmUpStep warmUpStep(WarmUpKnowledge const& warmth) {
  if (!warmth.isBounded) return WarmUpStep::send;
  if (warmth.isRecent) return warmth.mayBeWarmingUp ? WarmUpStep::takeCredit : WarmUpStep::send;
  return warmth.mayBeWarmingUp ? WarmUpStep::pass : WarmUpStep::probe;
}

}  // namespace tealshelf
