#pragma once
#include "configuration/configuration.hpp"
#include "fleet/evacuation.hpp"
#include "rollouts/version_groups.hpp"
#include "updates/update_subscriber.hpp"

namespace tealshelf {

/// What a data-plane node knows: the configuration in force, the workers, the control nodes. It asks a relay or a
/// control node for updates, and relays them to others that ask here.
///
/// Runs on the io thread. Settings and client must outlive it.
class FleetView {
 public:
  FleetView(asio::io_context& io, Settings const& settings, RpcClient& rpc, string role, Address address);
  void start(RpcServer& server);

  /// Null before the first one is known.
  std::shared_ptr<Configuration const> configuration() const { return configuration_; }
  std::map<string, Worker> const& workers() const { return workers_; }
  /// Workers of a service that take new requests, by version. Valid until the workers or the rollouts change.
  VersionGroups const& groupsOf(string const& service) const;
  /// Those of them that get ordinary traffic.
  vector<Worker const*> const& workersOf(string const& service) const { return groupsOf(service).stable; }
  /// True if a worker may get new requests, as far as its state and its zone go.
  bool takesRequests(Worker const& worker) const;
  /// What is known here of whether a worker warms up.
  struct WarmUp {
    ServiceSettings const* service = nullptr;  ///< null if the worker's service doesn't bound what it gets meanwhile
    bool mayBeUnderWay = false;                ///< it warms up, or may do so for all that is known here
  };
  WarmUp warmUpOf(Worker const& worker) const;
  /// Null if there is none of that id.
  Worker const* find(string const& id) const;
  /// Rises whenever the workers change.
  std::uint64_t revision() const { return revision_; }

  /// True if the node may call itself ready: it has a configuration, and updates not too long ago. One that is cut off
  /// goes on with what it knows, as the workers themselves refuse what is not for them.
  bool isReady() const { return isUpToDateWithin(5 * settings_.bounds.inTouch); }
  /// True if what is known here is recent.
  bool isFresh() const { return isUpToDateWithin(settings_.bounds.inTouch / 3); }
  /// True if the keys that are known here may still be gone by: always, unless the deployment wants nodes to fail
  /// closed.
  bool mayTrustKeys() const { return !settings_.bounds.failClosed || isUpToDateWithin(settings_.bounds.revokeWithin); }
  /// Control nodes to call, those that failed lately last.
  vector<Address> controlAddresses() const { return subscriber_.controlAddresses(Clock::now()); }
  /// The members of the control plane, as far as they are known here.
  vector<Member> members() const;
  /// Rises whenever the members change.
  std::uint64_t membersRevision() const { return subscriber_.membersRevision(); }
  void noteControlAnswered(Address const& control) { subscriber_.noteAnswered(control); }
  void noteControlFailed(Address const& control) { subscriber_.noteFailed(control, Clock::now()); }
  /// Called when something changed.
  std::function<void()> onUpdate;
  /// Notes how a request at a worker went; it goes up with the next request for updates.
  void tally(string const& worker, bool succeeded);
  /// The rollout of a service that is under way, or null.
  RolloutRecord const* activeRollout(string const& service) const;
  /// Notes what came of a request at a worker of a service with a rollout.
  void tallyVersion(Worker const& worker, string const& route, VersionTally outcome);
  /// Tells how many requests of this node are under way at a worker.
  std::function<std::int64_t(string const& worker)> runningAt;

  struct Counts {
    std::uint64_t requestsSent, repliesSent, bytesSent, heldRequests;
  };
  Counts counts() const;

 private:
  bool isUpToDateWithin(Ms age) const { return configuration_ && Clock::now() - subscriber_.provenAt() < age; }
  Task<void> updateLoop();
  /// Asks the sources that are known, one after the other and a few at once, until the first configuration is there:
  /// first control nodes for an introduction, then the nearest for everything.
  Task<void> fetchFirstConfiguration();
  Task<void> sendFirstRequest(Address source);
  /// Waits, but no longer than until an answer to a first request came.
  Task<void> waitForFirstReply(Ms limit);
  /// Sends a planned request and takes its reply; true if its source may be asked on.
  Task<bool> executePlan(UpdateSubscriber::Plan plan);
  void installConfiguration();
  void applyRow(TableRow const& row);
  void applyRollout(TableRow const& row);
  void applyEvacuation(TableRow const& row);
  /// Fills in what this node has confirmed of rollouts.
  void confirmRollouts(DataNode& self) const;
  /// True while a rollout is in its last stage, and all wait for the last confirmations.
  bool awaitsConfirmations() const;
  /// True if this node has a request under way at a worker whose version is excluded.
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
  std::uint64_t rolloutRevision_ = 0;                        ///< highest of those records
  mutable std::map<string, VersionGroups> groupsByService_;  ///< of the revision below
  mutable std::uint64_t groupsRevision_ = 0;
  std::set<Address> firstRequestSources_;  ///< sources with a first request under way
  asio::steady_timer firstReplyTimer_;
  TimePoint lastTalliesSentAt_;
  std::uint64_t revision_ = 1;
  std::uint64_t requestsSent_ = 0;
};

}  // namespace tealshelf
