#pragma once
#include "tools/soak/address_block.hpp"
#include "tools/soak/options.hpp"

namespace tealshelf::soak {

enum class NodeRole { control, edge, store };

/// One process of ours and what it is told.
struct NodePlan {
  string name;  ///< also of its files
  NodeRole role = NodeRole::edge;
  string machine, ip, zone;
  bool hasDisk = false;
  bool countsAsLoss = false;
};

/// Who runs where. A control process and an edge share a machine, as in deploy/system.toml; forwarders are control
/// processes without a disk.
struct Topology {
  vector<NodePlan> nodes;
  vector<string> zones;
  vector<string> seeds;  ///< control addresses of the settings files
  string platformAddress;
};
Topology makeTopology(Options const& options, AddressBlock const& block);

/// Ports, alike on all machines.
constexpr int outsidePort = 8144, readinessPort = 8140, controlPort = 8146, platformPort = 8306;

/// The bounds that the settings files bear, which the checks go by.
struct SoakBounds {
  Ms inTouch{3000}, confirmWithin{4000}, catchUp{5000}, applyWithin{2000}, revertSlack{250}, recover{12000},
      finishWithin{10000}, statusEvery{120000}, cancelWithin{3000}, settleWithin{1000}, reportEvery{1200}, grace{8000},
      slack{200}, lease{1500}, reportWindow{1000}, usageDelay{3000};
  double dutiesPerSecond = 20;
  /// What a worker bears while it warms up, and what the rule allows (docs/design-warm-ups.md).
  Ms warmUp{3000};
  double warmUpPerSecond = 4, warmUpOverrun = 1.5, warmUpMargin = 3;
  double warmUpMost() const { return warmUpPerSecond * warmUpOverrun + warmUpMargin; }
};

/// The text of a node's settings file.
string settingsText(NodePlan const& node, Topology const& topology, Options const& options, SoakBounds const& bounds,
                    string const& dataFolder, bool firstBoot);

}  // namespace tealshelf::soak
