#pragma once
#include "fleet/nodes.hpp"
#include "rollouts/version_evidence.hpp"
#include "updates/versioned_table.hpp"

/// Calls by which data-plane nodes ask for updates.
namespace tealshelf {

/// Format of the updates; a subscriber with another one is refused.
constexpr int updateFormat = 2;
/// Prefixes of the keys in the common table: workers and members of the control plane.
constexpr string_view workerRowPrefix = "w/";
constexpr string_view memberRowPrefix = "m/";
/// Prefix of the keys of evacuations, by zone.
constexpr string_view evacuationRowPrefix = "z/";
/// Prefix of the keys of rollouts, by service.
constexpr string_view rolloutRowPrefix = "r/";

/// Answer of a control node or a relay to a request for updates.
struct UpdateReply {
  int format = updateFormat;
  bool healthy = false;
  bool wantsNodes = false;      ///< the list of nodes subscribed to the subscriber is wanted
  int depth = 0;                ///< 0 from control, one more from each relay
  std::int64_t proofAgeMs = 0;  ///< how old the proof is that control had a majority
  std::int64_t heldMs = 0;      ///< how long the request was held
  std::uint64_t configurationVersion = 0;
  string configuration;  ///< empty if the subscriber has it
  string common, zone;   ///< serialized TableDeltas; empty if the subscriber is up to date
  std::uint64_t commonDigest = 0, zoneDigest = 0;
  vector<TableRow> members;  ///< only in answers to introductions
  MSGPACK_DEFINE(format, healthy, wantsNodes, depth, proofAgeMs, heldMs, configurationVersion, configuration, common,
                 zone, commonDigest, zoneDigest, members)
};

/// Asks for updates with the versions that the subscriber has; held until there are some.
struct UpdateRequest {
  using Reply = UpdateReply;
  static constexpr RpcMethod method = RpcMethod::updates;
  int format = updateFormat;
  DataNode self;
  std::int64_t holdMs = 0;
  bool isFirst = false;  ///< the subscriber knows nothing yet and waits for the answerer's health
  std::uint64_t configurationVersion = 0, commonDigest = 0, zoneDigest = 0;
  std::uint64_t nodesDigest = 0;  ///< of the nodes subscribed to the subscriber; 0 if there are none
  bool carriesNodes = false;
  vector<DataNode> nodes;
  vector<WorkerTally> tallies;  ///< how requests at workers went since the last request, here and at the nodes
  /// The subscriber only wants to know whom to ask: the nodes of its zone and the members. Everything else it gets
  /// from a node near it.
  bool isIntroduction = false;
  vector<VersionTally> versionTallies;  ///< of services with a rollout, since the last request
  MSGPACK_DEFINE(format, self, holdMs, isFirst, configurationVersion, commonDigest, zoneDigest, nodesDigest,
                 carriesNodes, nodes, tallies, isIntroduction, versionTallies)
};

}  // namespace tealshelf
