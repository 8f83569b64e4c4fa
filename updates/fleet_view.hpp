#pragma once
#include "configuration/configuration.hpp"
#include "fleet/evacuation.hpp"
#include "rollouts/version_groups.hpp"
#include "updates/update_subscriber.hpp"

namespace tealshelf {

/// A data-plane node's view of the fleet: the configuration in force, the workers, the control nodes. Polls a relay or
/// a control node for updates, and serves them to nodes that poll this one.
///
/// Runs on the io thread. The settings and the RPC client must outlive it.
class FleetView {
 public:
  FleetView(asio::io_context& io, Settings const& settings, RpcClient& rpc, string role, Address address);
  void start(RpcServer& server);

  /// Null until the first one is received.
  std::shared_ptr<Configuration const> configuration() const { return configuration_; }
  std::map<string, Worker> const& workers() const { return workers_; }
  /// Workers of a service that take new requests, by version. Valid until the workers or the rollouts change.
  VersionGroups const& groupsOf(string const& service) const;
  /// Those of them that receive ordinary traffic.
  vector<Worker const*> const& workersOf(string const& service) const { return groupsOf(service).stable; }
  /// True if neither the state of a worker nor an evacuation of its zone excludes it from new requests.
  bool takesRequests(Worker const& worker) const;
  /// What this node knows about the warm-up of a worker.
  struct WarmUp {
    ServiceSettings const* service = nullptr;  ///< null if the worker's service has no limit during warm-up
    bool mayBeUnderWay = false;                ///< the worker warms up, or may do so as far as this node knows
  };
  WarmUp warmUpOf(Worker const& worker) const;
  /// The worker of an id, or null.
  Worker const* find(string const& id) const;
  /// Increases whenever the workers, the rollouts, the evacuations or the configuration change.
  std::uint64_t revision() const { return revision_; }

  /// True if the node may report itself as ready: it has a configuration and recent updates. An isolated node goes on
  /// serving with what it knows, as workers refuse requests that aren't meant for them.
  bool isReady() const { return isUpToDateWithin(5 * settings_.bounds.inTouch); }
  /// True if the view is recent enough for decisions that need current state.
  bool isFresh() const { return isUpToDateWithin(settings_.bounds.inTouch / 3); }
  /// True if the known keys of tenants may still be accepted: always, unless the deployment is configured to fail
  /// closed.
  bool mayTrustKeys() const { return !settings_.bounds.failClosed || isUpToDateWithin(settings_.bounds.revokeWithin); }
  /// Control nodes to call, those in backoff last.
  vector<Address> controlAddresses() const { return subscriber_.controlAddresses(Clock::now()); }
  /// The members of the control plane that this node knows.
  vector<Member> members() const;
  /// Increases whenever the members change.
  std::uint64_t membersRevision() const { return subscriber_.membersRevision(); }
  void noteControlAnswered(Address const& control) { subscriber_.noteAnswered(control); }
  void noteControlFailed(Address const& control) { subscriber_.noteFailed(control, Clock::now()); }
  /// Called after updates were applied.
  std::function<void()> onUpdate;
  /// Counts the outcome of a request at a worker; the counts are sent with a later request for updates.
  void tally(string const& worker, bool succeeded);
  /// The active rollout of a service, or null.
  RolloutRecord const* activeRollout(string const& service) const;
  /// Counts the outcome of a request at a worker of a service with an active rollout.
  void tallyVersion(Worker const& worker, Route const& route, VersionTally outcome);
  /// The number of requests of this node in flight at a worker.
  std::function<std::int64_t(string const& worker)> runningAt;

  struct Counts {
    std::uint64_t requestsSent, repliesSent, bytesSent, heldRequests;
  };
  Counts counts() const;

 private:
  bool isUpToDateWithin(Ms age) const { return configuration_ && Clock::now() - subscriber_.provenAt() < age; }
  Task<void> updateLoop();
  /// Asks the known sources in order, a few at once, until the first configuration is received: first control nodes for
  /// an introduction, then the nearest source for all tables.
  Task<void> fetchFirstConfiguration();
  Task<void> sendFirstRequest(Address source);
  /// Waits until a first request has ended, at most for a limit.
  Task<void> waitForFirstReply(Ms limit);
  /// Sends a planned request and applies the reply; true if the source remains usable.
  Task<bool> executePlan(UpdateSubscriber::Plan plan);
  void installConfiguration();
  void applyRow(TableRow const& row);
  void applyRollout(TableRow const& row);
  void applyEvacuation(TableRow const& row);
  /// Fills in the rollout revisions that this node has confirmed.
  void confirmRollouts(DataNode& self) const;
  /// True while a rollout is in its last stage, which ends once all nodes have confirmed it.
  bool awaitsConfirmations() const;
  /// True if this node has a request in flight at a worker whose version is excluded by a rollout.
  bool hasRequestsAtExcludedVersion() const;

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  UpdatePublisher publisher_;
  UpdateSubscriber subscriber_;
  std::shared_ptr<Configuration const> configuration_;
  std::map<string, Worker> workers_;
  std::map<string, RolloutRecord> rollouts_;                 ///< by service
  std::map<string, Evacuation> evacuations_;                 ///< by zone
  std::uint64_t rolloutRevision_ = 0;                        ///< highest revision of those records
  mutable std::map<string, VersionGroups> groupsByService_;  ///< cache, valid for groupsRevision_
  mutable std::uint64_t groupsRevision_ = 0;
  std::set<Address> firstRequestSources_;  ///< sources with a first request in flight
  asio::steady_timer firstReplyTimer_;
  TimePoint lastTalliesSentAt_;
  std::uint64_t revision_ = 1;
  std::uint64_t requestsSent_ = 0;
};

}  // namespace tealshelf
