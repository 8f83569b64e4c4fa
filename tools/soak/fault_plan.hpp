#pragma once
#include "tools/soak/options.hpp"
#include "tools/soak/random.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// One fault: when it begins in its episode, how long it lasts, and whom it hits.
struct Fault {
  FaultKind kind = FaultKind::killNode;
  Ms startsAfter{0}, lasts{0};
  vector<std::size_t> nodes;       ///< places in the topology; of workers for a worker's crash
  vector<std::size_t> alsoKilled;  ///< killed in the moment in which the others lose their disks
  string zone;                     ///< of an evacuation
  int repeats = 1;                 ///< the fault comes so often, one after the other
  bool oneWay = false;             ///< of a cut: only what the others send is held up
  bool afterAcknowledgement = false;
  bool afterLot = false;  ///< the acknowledgement is that of a lot, not of a change of the configuration
  string describe(Topology const& topology) const;
};

/// Faults that overlap. Until the next episode all of them are mended and what was lost is copied anew.
struct Episode {
  vector<Fault> faults;
  /// More is lost at once than `survive` names: service may rest, and a disk is lost only once it is back.
  bool beyondSurvive = false;
};

/// Draws faults by a seed. At most `survive` disks are lost in an episode.
class FaultPlanner {
 public:
  FaultPlanner(Options const& options, Topology const& topology, std::size_t workers)
      : options_(options),
        topology_(topology),
        workers_(workers),
        random_(options.seed, "faults"),
        afterLotRandom_(options.seed, "moments") {}
  Episode draw();
  /// The last one: right after an acknowledgement as many disks as `survive` allows are lost, and at times all other
  /// processes that count, or all others, are killed in the same moment.
  Episode drawClosing();

 private:
  Fault drawFault(FaultKind kind);
  vector<std::size_t> nodesOf(NodeRole role) const;
  vector<std::size_t> nodesWithDisk() const;
  vector<std::size_t> nodesWithDisk(NodeRole role) const;
  vector<std::size_t> halfOf(vector<std::size_t> nodes);
  Fault loseDisks();
  ClosingFault drawClosingKind();

  Options const& options_;
  Topology const& topology_;
  std::size_t workers_;
  Random random_, afterLotRandom_;
};

}  // namespace tealshelf::soak
