#pragma once
#include "tools/soak/address_block.hpp"
#include "tools/soak/options.hpp"

namespace tealshelf::soak {

enum class NodeRole { control, edge, store };

/// One tealshelf process and its settings.
struct NodePlan {
  string name;  ///< also the name of its settings, disk and log
  NodeRole role = NodeRole::edge;
  string machine, ip, zone;
  bool hasDisk = false;
  bool countsAsLoss = false;
};

/// Assignment of processes to machines. A control process and an edge share a machine, as in deploy/system.toml;
/// forwarders are control processes without a disk.
struct Topology {
  vector<NodePlan> nodes;
  vector<string> zones;
  vector<string> seeds;  ///< control addresses listed in the settings files
  string platformAddress;
};
Topology makeTopology(Options const& options, AddressBlock const& block);

/// Ports, the same on all machines.
constexpr int outsidePort = 8144, readinessPort = 8140, controlPort = 8146, platformPort = 8306;

/// Bounds that are written to the settings files and that the checks apply.
struct SoakBounds {
  Ms inTouch{3000}, confirmWithin{4000}, catchUp{5000}, applyWithin{2000}, revertSlack{250}, recover{12000},
      finishWithin{10000}, statusEvery{120000}, cancelWithin{3000}, settleWithin{1000}, reportEvery{1200}, grace{8000},
      slack{200}, lease{1500}, reportWindow{1000}, usageDelay{3000};
  double dutiesPerSecond = 20;
  /// Request rate of a worker that warms up, and the tolerance of the rule (docs/design-warm-ups.md).
  Ms warmUp{3000};
  double warmUpPerSecond = 4, warmUpOverrun = 1.5, warmUpMargin = 3;
  double warmUpMost() const { return warmUpPerSecond * warmUpOverrun + warmUpMargin; }
};

/// Contents of a node's settings file.
string settingsText(NodePlan const& node, Topology const& topology, Options const& options, SoakBounds const& bounds,
                    string const& dataFolder, bool firstBoot);

}  // namespace tealshelf::soak
