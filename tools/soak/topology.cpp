#include "tools/soak/topology.hpp"

#include <sstream>

namespace tealshelf::soak {

namespace {
constexpr int firstEdgeMachine = 1, firstStoreMachine = 501, platformMachine = 901;
constexpr std::size_t maxSeeds = 3;

string joined(vector<string> const& parts) {
  string text;
  for (string const& part : parts) text += (text.empty() ? "" : ",") + part;
  return text;
}

void addEdgeMachine(Topology& topology, Options const& options, AddressBlock const& block, int number) {
  bool const hasDisk = number < options.controls;
  bool const runsControl = number < options.controls + options.forwarders;
  string const machine = "edge-" + std::to_string(number + 1);
  string const ip = block.ip(firstEdgeMachine + number);
  string const zone = topology.zones[static_cast<std::size_t>(number) % topology.zones.size()];
  if (runsControl) {
    topology.nodes.push_back({machine + "-control", NodeRole::control, machine, ip, zone, hasDisk, hasDisk});
    if (topology.seeds.size() < maxSeeds) topology.seeds.push_back(Address{ip, controlPort}.text());
  }
  topology.nodes.push_back({machine + "-edge", NodeRole::edge, machine, ip, zone, false, hasDisk});
}

std::string_view roleName(NodeRole role) {
  switch (role) {
    case NodeRole::control:
      return "control";
    case NodeRole::edge:
      return "edge";
    case NodeRole::store:
      return "storage";
  }
  return "";
}
}  // namespace

Topology makeTopology(Options const& options, AddressBlock const& block) {
  Topology topology;
  for (int zone = 0; zone < options.zones; ++zone) topology.zones.push_back("zone-" + std::to_string(zone + 1));
  topology.platformAddress = Address{block.ip(platformMachine), platformPort}.text();
  int const edgeMachines = options.controls + options.forwarders + options.plainEdges;
  for (int number = 0; number < edgeMachines; ++number) addEdgeMachine(topology, options, block, number);
  for (int number = 0; number < options.stores; ++number) {
    string const machine = "store-" + std::to_string(number + 1);
    string const zone = topology.zones[static_cast<std::size_t>(number) % topology.zones.size()];
    topology.nodes.push_back(
        {machine, NodeRole::store, machine, block.ip(firstStoreMachine + number), zone, true, true});
  }
  return topology;
}

string settingsText(NodePlan const& node, Topology const& topology, Options const& options, SoakBounds const& bounds,
                    string const& dataFolder, bool firstBoot) {
  std::ostringstream text;
  text << "nodeName=" << node.machine << "\nrole=" << roleName(node.role)
       << "\nmachineClass=" << (node.role == NodeRole::store ? "storage" : "edge") << "\nserves=" << roleName(node.role)
       << "\nipAddress=" << node.ip << "\nzone=" << node.zone << "\nregion=here\n";
  for (string const& zone : topology.zones) text << "zones." << zone << "=here\n";
  text << "listenOn.outside=" << node.ip << ":" << outsidePort << "\nlistenOn.readiness=" << node.ip << ":"
       << readinessPort << "\nlistenOn.control=" << node.ip << ":" << controlPort << "\ninternalPorts=7660,7675\n"
       << "seedNodes=" << joined(topology.seeds) << "\nfirstBoot=" << (firstBoot ? "true" : "false")
       << "\ncountsAsLoss=" << (node.countsAsLoss ? "true" : "false") << "\nlimits.memoryMb=300\n";
  if (node.hasDisk)
    text << "limits.diskMb=" << (node.role == NodeRole::store ? options.storeDiskMb : options.controlDiskMb)
         << "\ndataFolder=" << dataFolder << "\n";
  text << "reportEveryMs=" << bounds.reportEvery.count() << "\nsurvive.machines=" << options.survive
       << "\nsurvive.zones=0\nsurvive.regions=0\n"
       << "bounds.seedDelayS=3\nbounds.reuseAfterS=2\nbounds.inTouchMs=" << bounds.inTouch.count()
       << "\nbounds.confirmWithinMs=" << bounds.confirmWithin.count()
       << "\nbounds.catchUpS=" << bounds.catchUp.count() / 1000
       << "\nbounds.drainMs=2000\nbounds.graceS=" << bounds.grace.count() / 1000 << "\n"
       << "bounds.slackMs=" << bounds.slack.count() << "\nbounds.applyWithinMs=" << bounds.applyWithin.count()
       << "\nbounds.revertSlackMs=" << bounds.revertSlack.count()
       << "\nbounds.stretchLimitMs=5000\nbounds.recoverS=" << bounds.recover.count() / 1000
       << "\nbounds.stepMs=120\nbounds.finishWithinS=" << bounds.finishWithin.count() / 1000
       << "\nbounds.statusEveryS=" << bounds.statusEvery.count() / 1000
       << "\nbounds.cancelWithinMs=" << bounds.cancelWithin.count()
       << "\nbounds.settleWithinMs=" << bounds.settleWithin.count()
       << "\nbounds.quotaOverrun=0.1\nbounds.warmUpOverrun=" << bounds.warmUpOverrun
       << "\nbounds.warmUpMargin=" << bounds.warmUpMargin << "\nbounds.leaseMs=" << bounds.lease.count()
       << "\nbounds.reportWindowS=" << bounds.reportWindow.count() / 1000
       << "\nbounds.usageDelayS=" << bounds.usageDelay.count() / 1000
       << "\nproviderApi.address=" << topology.platformAddress << "\nproviderApi.dutiesPerS=" << bounds.dutiesPerSecond
       << "\nproviderApi.duties=usage,scaling\n";
  return text.str();
}

}  // namespace tealshelf::soak
