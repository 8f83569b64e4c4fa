#pragma once
#include "tools/soak/options.hpp"
#include "tools/soak/random.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// One fault: its start within the episode, its duration and its targets.
struct Fault {
  FaultKind kind = FaultKind::killNode;
  Ms startDelay{0}, duration{0};
  vector<std::size_t> nodes;       ///< indexes into Topology::nodes; for workerCrash indexes of workers
  vector<std::size_t> alsoKilled;  ///< killed at the same moment as `nodes`, which lose their disks
  string zone;                     ///< zone to evacuate
  int repeats = 1;                 ///< consecutive injections
  bool oneWay = false;             ///< for cuts: only messages from the other nodes are blocked
  bool afterAcknowledgement = false;
  bool afterLot = false;  ///< waits for a lot's acknowledgement instead of a configuration change's
  string describe(Topology const& topology) const;
};

/// Overlapping faults. Before the next episode all have ended and lost disks have been copied again from replicas.
struct Episode {
  vector<Fault> faults;
  /// More nodes fail at once than `survive` allows: service may be unavailable, and recovery takes longer.
  bool beyondSurvive = false;
};

/// Draws random faults from a seed. At most `survive` disks are lost in an episode.
class FaultPlanner {
 public:
  FaultPlanner(Options const& options, Topology const& topology, std::size_t workers)
      : options_(options),
        topology_(topology),
        workers_(workers),
        random_(options.seed, "faults"),
        afterLotRandom_(options.seed, "moments") {}
  Episode draw();
  /// The last episode: right after an acknowledgement `survive` disks are lost and, depending on the ClosingFault,
  /// other processes are killed at the same moment.
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
