// Nodes that start at the same time, as after a power loss: each knows only some of the others at first.
#include "tests/consensus/consensus_sim.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr std::size_t nodeCount = 6;
constexpr std::uint64_t longestDelayMs = 30, mostStepsBetweenStarts = 40;
constexpr std::size_t stepsBefore = 400, stepsAfter = 200;

std::uint64_t highestEpoch(sim::Cluster& cluster) {
  std::uint64_t highest = 0;
  for (sim::Cluster::Node const& node : cluster.nodes())
    highest = std::max(highest, node.consensus->epochOf("configuration").number);
  return highest;
}

struct Start {
  std::uint64_t takeovers = 0;   ///< of the configuration, counted by epochs
  std::size_t stepsToOwner = 0;  ///< from the start of the last node to the last change of the owner
};

/// All nodes lose power, then start one after the other.
Start startTogether(std::uint64_t seed) {
  sim::Cluster cluster(seed, nodeCount);
  cluster.delay = longestDelayMs;
  cluster.run(stepsBefore);
  std::uint64_t const before = highestEpoch(cluster);
  for (std::size_t i = 0; i < nodeCount; ++i) cluster.losePower(i);
  for (std::size_t i = 0; i < nodeCount; ++i) {
    cluster.start(i);
    cluster.run(cluster.dice(mostStepsBetweenStarts));
  }
  Start start;
  std::size_t owner = cluster.ownerOf("configuration");
  for (std::size_t step = 1; step <= stepsAfter; ++step) {
    cluster.step();
    std::size_t const present = cluster.ownerOf("configuration");
    if (present != owner) start.stepsToOwner = step;
    owner = present;
  }
  if (owner == nodeCount) start.stepsToOwner = stepsAfter;
  start.takeovers = highestEpoch(cluster) - before;
  return start;
}
}  // namespace

TEST_GROUP(startTogether){};

/// A node leaves another node's takeover undisturbed, so that each takes over at most once.
TEST(startTogether, nodesDoNotSupersedeEachOtherRepeatedly) {
  for (std::uint64_t seed = 1; seed <= seedCount(200); ++seed) {
    Start const start = startTogether(seed);
    string const text = "seed " + std::to_string(seed) + ": " + std::to_string(start.takeovers) + " takeovers, " +
                        std::to_string(start.stepsToOwner) + " steps";
    CHECK_TEXT(start.takeovers <= nodeCount, text.c_str());
    CHECK_TEXT(start.stepsToOwner < stepsAfter, text.c_str());
  }
}
