#pragma once
#include "base/metrics.hpp"
#include "tallies/tally_replica.hpp"

namespace tealshelf {

/// Metrics of the tallies on a control node.
struct TallyMetrics {
  Counter added =
      metrics().counter("tealshelf_tallies_additions_total", "Additions of callers by their end", {{"end", "added"}});
  Counter repeated = metrics().counter("tealshelf_tallies_additions_total", "", {{"end", "repeated"}});
  Counter refused = metrics().counter("tealshelf_tallies_additions_total", "", {{"end", "refused"}});
  Counter undecided = metrics().counter("tealshelf_tallies_additions_total", "", {{"end", "undecided"}});
  Counter withFewerCopies =
      metrics().counter("tealshelf_tallies_acknowledged_with_fewer_copies_total",
                        "Additions acknowledged on fewer disks than the losses to survive ask for, as no other member "
                        "could be reached");
  Counter pushes = metrics().counter("tealshelf_tallies_pushes_total", "Messages to other members by their end",
                                     {{"end", "answered"}});
  Counter failedPushes = metrics().counter("tealshelf_tallies_pushes_total", "", {{"end", "failed"}});
  Counter unmetReads = metrics().counter(
      "tealshelf_tallies_unmet_read_rounds_total",
      "Rounds of reads in which no reachable member had all additions that this process acknowledged");
  Counter lostOrigins = metrics().counter(
      "tealshelf_tallies_lost_origins_total",
      "Logs of additions that reads no longer wait for, as all members lack what this process acknowledged of them");
  Gauge recent = metrics().gauge("tealshelf_tallies_recent_additions", "Additions that some member may lack");
  Gauge remembered =
      metrics().gauge("tealshelf_tallies_remembered_keys", "Settled additions that a repeat is known of");
  Gauge unreachable = metrics().gauge("tealshelf_tallies_unreachable_peers", "Members that answer nothing");
  Gauge serving = metrics().gauge("tealshelf_tallies_serving", "1 if this node answers callers");

  void sample(TallyReplica const& replica) const;
};

}  // namespace tealshelf
