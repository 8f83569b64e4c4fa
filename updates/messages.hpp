#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// Form of the updates that is spoken here; an asker with another one is refused.
constexpr int updateFormat = 2;

/// Answer of a control node or a relay to an ask for updates.
struct UpdateReply {
  int form = updateFormat;
  bool healthy = false;
  bool wantChildren = false;  ///< the list of nodes that ask at the asker is wanted
  int depth = 0;              ///< 0 from control, one more from each relay
  std::int64_t ageMs = 0;     ///< how old the proof is that control had a majority
  std::int64_t heldMs = 0;    ///< how long the ask was held
  std::uint64_t configurationVersion = 0;
  string configuration;  ///< empty if the asker has it
  string common, zone;   ///< packed deltas; empty if the asker is up to date
  std::uint64_t commonTo = 0, zoneTo = 0;
  MSGPACK_DEFINE(form, healthy, wantChildren, depth, ageMs, heldMs, configurationVersion, configuration, common, zone,
                 commonTo, zoneTo)
};
/// Asks for updates with the versions that the asker has; held until there is some.
struct UpdateRequest {
  using Reply = UpdateReply;
  static constexpr RpcMethod method = RpcMethod::updates;
  int form = updateFormat;
  NodeRow self;
  std::int64_t holdMs = 0;
  bool first = false;  ///< the asker knows nothing yet and waits for the answerer's health
  std::uint64_t configurationVersion = 0, common = 0, zone = 0;
  std::uint64_t children = 0;  ///< digest of the nodes that ask at the asker
  bool hasList = false;
  vector<NodeRow> list;
  vector<WorkerTally> tallies;  ///< how requests at workers went since the last ask, here and at the children
  MSGPACK_DEFINE(form, self, holdMs, first, configurationVersion, common, zone, children, hasList, list, tallies)
};

}  // namespace tealshelf
