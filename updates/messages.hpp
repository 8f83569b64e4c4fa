#pragma once
#include "fleet/nodes.hpp"
#include "rollouts/version_evidence.hpp"
#include "updates/versioned_table.hpp"

/// RPCs by which data-plane nodes poll for updates.
namespace tealshelf {

/// Format of the updates; a subscriber with another format is refused.
constexpr int updateFormat = 2;
/// Prefixes of the keys in the common table: workers and members of the control plane.
constexpr string_view workerRowPrefix = "w/";
constexpr string_view memberRowPrefix = "m/";
/// Prefix of the keys of evacuations, by zone.
constexpr string_view evacuationRowPrefix = "z/";
/// Prefix of the keys of rollouts, by service.
constexpr string_view rolloutRowPrefix = "r/";

/// Reply of a control node or a relay to a request for updates.
struct UpdateReply {
  int format = updateFormat;
  bool healthy = false;
  bool wantsNodes = false;      ///< the next request shall list the nodes that poll the subscriber
  int depth = 0;                ///< hops from the control plane to the sender; 0 for a control node
  std::int64_t proofAgeMs = 0;  ///< time since the control plane last proved that it has a majority
  std::int64_t heldMs = 0;      ///< how long the request was held
  std::uint64_t configurationVersion = 0;
  string configuration;  ///< empty if the subscriber has this version
  string common, zone;   ///< serialized TableDeltas; empty if the subscriber is up to date
  std::uint64_t commonDigest = 0, zoneDigest = 0;
  vector<TableRow> members;  ///< only in replies to introductions
  MSGPACK_DEFINE(format, healthy, wantsNodes, depth, proofAgeMs, heldMs, configurationVersion, configuration, common,
                 zone, commonDigest, zoneDigest, members)
};

/// Long poll: states the versions that the subscriber has, and is held until there are updates.
struct UpdateRequest {
  using Reply = UpdateReply;
  static constexpr RpcMethod method = RpcMethod::updates;
  int format = updateFormat;
  DataNode self;
  std::int64_t holdMs = 0;
  bool isFirst = false;  ///< the subscriber has no state yet; an unhealthy node holds its request too
  std::uint64_t configurationVersion = 0, commonDigest = 0, zoneDigest = 0;
  std::uint64_t nodesDigest = 0;  ///< of the nodes that poll the subscriber; 0 if there are none
  bool carriesNodes = false;
  vector<DataNode> nodes;
  vector<WorkerTally> tallies;  ///< outcomes at workers since the last request, of the subscriber and its nodes
  /// The subscriber only asks for the nodes of its zone and the members, to find its sources. It gets all other tables
  /// from a source near it.
  bool isIntroduction = false;
  vector<VersionTally> versionTallies;  ///< outcomes of services with a rollout since the last request
  MSGPACK_DEFINE(format, self, holdMs, isFirst, configurationVersion, commonDigest, zoneDigest, nodesDigest,
                 carriesNodes, nodes, tallies, isIntroduction, versionTallies)
};

}  // namespace tealshelf
