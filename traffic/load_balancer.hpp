#pragma once
#include "traffic/prefix_placement.hpp"
#include "traffic/worker_load.hpp"
#include "traffic/zone_reachability.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// Criteria for the choice of a worker.
struct PickRequest {
  string service;
  std::uint64_t sessionKey = 0;    ///< hash of the prompt's shared parts, for affinity to a worker
  std::uint64_t sharedTokens = 0;  ///< of the prompt's shared parts
  std::uint64_t promptTokens = 0;
  bool background = false;   ///< batch work, which uses only spare capacity
  double reservedShare = 0;  ///< share of the slots that background work leaves free
  std::uint64_t draw = 0;    ///< a hash of the request that selects the share sent to a new version
};

/// The result of a choice; `worker` is null if none is available.
struct Pick {
  Worker const* worker = nullptr;
  std::optional<PrefixPlacement> prefix;  ///< if the request has a long shared prefix
};

/// Picks workers by their load and health as this node has observed them.
class LoadBalancer {
 public:
  explicit LoadBalancer(Settings const& settings)
      : settings_(settings), zones_(settings.bounds.inTouch / 8, settings.bounds.inTouch) {}
  /// The best warm worker that wasn't tried; null if there is none.
  Pick pick(FleetView const& view, PickRequest const& request, std::set<string> const& tried);

  /// The best worker that is warming up and wasn't tried; null if there is none. WarmUpGate decides what it may be
  /// sent.
  Worker const* pickWarmingUp(FleetView const& view, PickRequest const& request, std::set<string> const& tried);
  /// True if a worker in the service's stable group is warming up.
  bool hasWarmingUpWorker(FleetView const& view, string const& service);
  /// True if a worker of that group is warm and, as far as known here, neither failed nor was full recently.
  bool hasHealthyWarmWorker(FleetView const& view, string const& service);
  /// True if a worker is used only if there is no other: it failed or was full recently, is ejected, or its zone is
  /// unreachable.
  bool isLastResort(Worker const& worker) const;
  /// The stages of a request at a worker: it was sent, with this many prompt tokens to prefill; its first output
  /// arrived; it ended.
  void requestStarted(string const& worker, std::uint64_t prefillTokens);
  void prefillFinished(string const& worker, std::uint64_t prefillTokens);
  void requestEnded(string const& worker);
  /// A worker reported its load.
  void reportLoad(Worker const& worker, WorkerLoad const& load);
  /// A worker refused a request because it was full.
  void markFull(string const& worker);
  /// A request to a worker failed. An unreachable worker is avoided at once, another after a second failure in a row.
  void markFailed(string const& worker, bool unreachable);
  void markHealthy(string const& worker);
  /// A worker responded, if only by refusing a connection.
  void noteReached(Worker const& worker) {
    if (zones_.hasSilent()) zones_.noteAnswer(worker.zone);
  }
  /// A connection attempt to a worker got no response: the worker or its zone is unreachable.
  void noteUnreached(Worker const& worker);
  /// True if several workers of a zone failed to respond and none has responded since.
  bool isZoneUnreachable(string const& zone) const { return zones_.isSilent(zone); }
  /// True if no zone but this node's own can be reached, judging by the workers; false if there are fewer than two
  /// other zones.
  bool isZonePartitioned(std::map<string, Worker> const& workers) const;
  /// A worker's load as a share of its slots; above 1 if requests wait.
  double load(Worker const& worker, TimePoint now) const;
  /// The mean of the loads that warm workers of a service reported recently, if any did. It complements load(), which
  /// is 0 for a worker that this node hasn't used for long.
  std::optional<double> recentMeanLoad(string const& service, TimePoint now) const;
  /// Number of this node's requests in progress at a worker.
  std::int64_t runningAt(string const& worker) const;
  /// Drops the state of workers that are gone.
  void sweep(FleetView const& view);

 private:
  /// This node's knowledge of a worker.
  struct WorkerState {
    std::int64_t ownRequests = 0;       ///< this node's requests in progress there
    std::int64_t reportedRequests = 0;  ///< running and waiting, as reported by the worker
    std::int64_t reportedWaiting = 0;
    std::int64_t ownSinceReport = 0;  ///< this node's requests started minus ended since that report
    std::int64_t prefillTokens = 0, prefillRequests = 0;
    TimePoint reportedAt, failedUntil, fullUntil;
    int failures = 0;  ///< consecutive
  };
  /// LotMigration average of the loads reported by the warm workers of a service.
  struct MeanLoad {
    double mean = 0;
    TimePoint reportedAt;
  };
  /// A worker of a service and its state; cached until the set of workers changes.
  struct Candidate {
    Worker const* worker;
    std::uint64_t hash;
    WorkerState* state;
  };
  struct CandidateList {
    std::uint64_t revision = 0;
    vector<Candidate> candidates;
  };
  /// Preference classes of workers; higher is better.
  enum class Fitness { none, lastResort, good };
  /// The best candidate so far: the highest fitness, then the lowest cost.
  struct Best {
    Worker const* worker = nullptr;
    Fitness fitness = Fitness::none;
    double cost = 0;
  };

  /// Groups of a service's workers: by version, and those that are warming up.
  enum class Group { stable, canary, warmingUp };
  vector<Candidate> makeCandidates(FleetView const& view, string const& service, Group group);
  vector<Candidate> const& candidatesFor(FleetView const& view, string const& service, Group group);
  Pick pickFrom(vector<Candidate> const& candidates, PickRequest const& request, std::set<string> const& tried,
                TimePoint now);
  Fitness fitnessOf(Candidate const& candidate, PickRequest const& request, std::set<string> const& tried,
                    TimePoint now) const;
  bool isAvoided(WorkerState const& state, Worker const& worker, TimePoint now) const {
    bool const isOut = now < state.failedUntil || now < state.fullUntil || worker.ejected;
    return isOut || (zones_.hasSilent() && zones_.isAvoided(worker.zone, now));
  }
  double loadOf(WorkerState const& state, Worker const& worker, TimePoint now) const;
  /// Load plus the prefill work that a new prompt would wait for, in the same unit.
  double costOf(Candidate const& candidate, TimePoint now) const;
  Worker const* pickAny(vector<Candidate> const& candidates, PickRequest const& request, std::set<string> const& tried,
                        TimePoint now);
  Pick pickWithAffinity(vector<Candidate> const& candidates, PickRequest const& request, std::set<string> const& tried,
                        TimePoint now) const;
  /// Describes a placement compared to the preferred worker: the first of all in rendezvous order.
  PrefixPlacement placementOf(Candidate const& preferredWorker, PickRequest const& request,
                              std::set<string> const& tried, Best const& best, TimePoint now) const;
  std::uint64_t nextRandom();

  Settings const& settings_;
  ZoneReachability zones_;
  std::map<string, WorkerState> workers_;
  std::map<string, MeanLoad> serviceLoads_;
  std::map<std::pair<string, Group>, CandidateList> candidateLists_;
  std::uint64_t randomState_ = randomId();
};

}  // namespace tealshelf
