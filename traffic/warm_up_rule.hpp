#pragma once

/// The rule for sending a request to a worker that may be warming up.
namespace tealshelf {

/// What a node knows of a worker's warm-up.
struct WarmUpKnowledge {
  bool isBounded = false;       ///< its service limits the requests to workers that are warming up
  bool mayBeWarmingUp = false;  ///< according to the last update
  bool isRecent = false;        ///< the node's knowledge of the fleet is recent
};

enum class WarmUpStep {
  send,        ///< send without admission
  takeCredit,  ///< obtain a credit, counted over all nodes
  probe,       ///< ask the worker itself whether it is warm
  pass         ///< choose another worker
};

/// A worker known to be warming up gets only requests with a credit. A node whose knowledge is old can't obtain credits
/// and can't know which workers have gone cold since: it avoids those it knows as cold and probes all others.
constexpr WarmUpStep warmUpStep(WarmUpKnowledge const& warmth) {
  if (!warmth.isBounded) return WarmUpStep::send;
  if (warmth.isRecent) return warmth.mayBeWarmingUp ? WarmUpStep::takeCredit : WarmUpStep::send;
  return warmth.mayBeWarmingUp ? WarmUpStep::pass : WarmUpStep::probe;
}

}  // namespace tealshelf
