#pragma once
#include "traffic/prefix_placement.hpp"
#include "traffic/worker_load.hpp"
#include "traffic/zone_reachability.hpp"
#include "updates/fleet_view.hpp"

namespace tealshelf {

/// What the choice of a worker goes by.
struct PickRequest {
  string service;
  std::uint64_t sessionKey = 0;    ///< hash of the shared parts of the prompt: what is pinned to a worker
  std::uint64_t sharedTokens = 0;  ///< of the prompt's shared parts
  std::uint64_t promptTokens = 0;
  bool background = false;   ///< takes only what others leave
  double reservedShare = 0;  ///< part of the slots to be left free, if in the background
  std::uint64_t draw = 0;    ///< a hash of the request, by which some go to a new version
};

/// A chosen worker; null if there is none.
struct Pick {
  Worker const* worker = nullptr;
  std::optional<PrefixPlacement> prefix;  ///< if the request has a long shared prefix
};

/// Picks workers by how loaded and how well each is, from what this node has seen of it.
class LoadBalancer {
 public:
  explicit LoadBalancer(Settings const& settings)
      : settings_(settings), zones_(settings.bounds.inTouch / 8, settings.bounds.inTouch) {}
  /// The best worker that is warm; null if there is none. Those that were tried are passed over.
  Pick pick(FleetView const& view, PickRequest const& request, std::set<string> const& tried);

  /// The best worker that warms up; null if there is none. What it may be sent is decided elsewhere (WarmUpGate).
  Worker const* pickWarmingUp(FleetView const& view, PickRequest const& request, std::set<string> const& tried);
  /// True if a worker of a service that takes ordinary traffic warms up.
  bool hasWarmingUpWorker(FleetView const& view, string const& service);
  /// True if one of them is warm and neither failed nor full lately, as far as is known here.
  bool hasHealthyWarmWorker(FleetView const& view, string const& service);
  /// True if a worker is taken only where there is no other: it failed or was full lately, or is ejected.
  bool isLastResort(Worker const& worker) const;
  /// A request goes to a worker that has so many prompt tokens of it to read; then its first output came; then it
  /// ended.
  void requestStarted(string const& worker, std::uint64_t prefillTokens);
  void prefillFinished(string const& worker, std::uint64_t prefillTokens);
  void requestEnded(string const& worker);
  /// A worker told its own load.
  void reportLoad(Worker const& worker, WorkerLoad const& load);
  /// It turned a request away as full.
  void markFull(string const& worker);
  /// It broke off. If `unreachable`, it is passed over at once, else after the second time.
  void markFailed(string const& worker, bool unreachable);
  void markHealthy(string const& worker);
  /// Something came from a worker, a refused connection too.
  void noteReached(Worker const& worker) {
    if (zones_.hasSilent()) zones_.noteAnswer(worker.zone);
  }
  /// A connection to a worker stayed without an answer: it, or its zone, is out of reach.
  void noteUnreached(Worker const& worker);
  /// True if a zone's workers gave no answer of any kind since one of them last did.
  bool isZoneUnreachable(string const& zone) const { return zones_.isSilent(zone); }
  /// True if no zone but the own one can be reached, as far as its workers show; false where there are fewer than two
  /// others.
  bool isZonePartitioned(std::map<string, Worker> const& workers) const;
  /// Load as a part of its slots; over 1 if requests wait.
  double load(Worker const& worker, TimePoint now) const;
  /// The mean load that warm workers of a service told lately; nothing if none did. This node may not have asked the
  /// next worker for long, and then takes it for idle.
  std::optional<double> recentMeanLoad(string const& service, TimePoint now) const;
  /// Requests of this node that are under way at a worker.
  std::int64_t runningAt(string const& worker) const;
  /// Forgets workers that are gone.
  void sweep(FleetView const& view);

 private:
  /// What this node knows of a worker.
  struct WorkerState {
    std::int64_t ownRequests = 0;       ///< this node's requests that are under way there
    std::int64_t reportedRequests = 0;  ///< running and waiting, by the worker's own word
    std::int64_t reportedWaiting = 0;
    std::int64_t ownSinceReport = 0;  ///< this node's requests started less ended since that word
    std::int64_t prefillTokens = 0, prefillRequests = 0;
    TimePoint reportedAt, failedUntil, fullUntil;
    int failures = 0;  ///< in a row
  };
  /// What the warm workers of a service told of their load, the newest counting most.
  struct MeanLoad {
    double mean = 0;
    TimePoint reportedAt;
  };
  /// A worker of a service with what is known of it, worked out anew only when the workers change.
  struct Candidate {
    Worker const* worker;
    std::uint64_t hash;
    WorkerState* state;
  };
  struct CandidateList {
    std::uint64_t revision = 0;
    vector<Candidate> candidates;
  };
  /// How willingly a worker is taken.
  enum class Fitness { none, lastResort, good };
  /// The best candidate so far: the fittest, and of those the one of least cost.
  struct Best {
    Worker const* worker = nullptr;
    Fitness fitness = Fitness::none;
    double cost = 0;
  };

  /// The group of workers that a request goes to, by the version, and whether they warm up.
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
  /// Load plus what a new prompt would wait behind, in the same measure.
  double costOf(Candidate const& candidate, TimePoint now) const;
  Worker const* pickAny(vector<Candidate> const& candidates, PickRequest const& request, std::set<string> const& tried,
                        TimePoint now);
  Pick pickWithAffinity(vector<Candidate> const& candidates, PickRequest const& request, std::set<string> const& tried,
                        TimePoint now) const;
  /// How a request was placed, beside the worker that should keep its prefix: the first of all in rendezvous order.
  PrefixPlacement placementOf(Candidate const& preferredWorker, PickRequest const& request,
                              std::set<string> const& tried, Best const& best, TimePoint now) const;
  std::uint64_t nextRandom();

  Settings const& settings_;
  ZoneReachability zones_;
  std::map<string, WorkerState> workers_;
  std::map<string, MeanLoad> serviceLoads_;
  std::map<std::pair<string, Group>, CandidateList> candidateLists_;  ///< by service
  std::uint64_t randomState_ = randomId();
};

}  // namespace tealshelf
