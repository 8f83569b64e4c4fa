#pragma once
#include "lots/execution/give_up_rule.hpp"
#include "lots/execution/item_schedule.hpp"

#include <random>

namespace tealshelf::sim {

/// Simulation of the queues of several lots at their primary, on a virtual clock.
///
/// It runs the real ItemQueue, nextItem(), mayTry(), findLotRoute() and giveUpReason(). Workers, the configuration, the
/// lease, the disk and the tasks that send items are models. A seed determines what happens to them: workers that
/// crash, stop answering or refuse, routes that move, are split, removed and added back, a lease that is lost, a disk
/// that stalls, restarts of the store, and recoveries that drop results. run() checks that items are given up only for
/// a reason, that each result comes from runs at one service, that no lot holds back those of other services, and that
/// every item ends once the troubles are over: soon if its service has a worker, and by the lot's time in any case.
class LotQueueSim {
 public:
  /// A fault put into the algorithm, which the checks must detect.
  enum class Mutation {
    none,
    positionBesideQueue,        ///< the next item is looked for from a position that doesn't go back
    givingUpNeedsWorkers,       ///< items are given up only when they start
    oneLimitForAllServices,     ///< the items running for all services count against each service's limit
    mostUrgentLotOnly,          ///< no item is started while the most urgent lot can't start any
    continuesAtAnotherService,  ///< a retry goes on with the events of a run at another service
    earlierStartCounts          ///< a task goes on with its item though that has been started again
  };

  static constexpr Ms step{10}, requestTimeout{6000}, longestRun{600};

  LotQueueSim(std::uint64_t seed, Mutation mutation);
  /// Runs the simulation; returns the first violation, or an empty text.
  string run();
  std::size_t lots() const { return lots_.size(); }
  /// Times at which an item went back into the queue.
  std::size_t releases() const { return releases_; }
  std::size_t givenUp() const { return givenUp_; }
  std::size_t restarts() const { return restarts_; }
  std::size_t droppedResults() const { return droppedResults_; }
  vector<string> const& trace() const { return trace_; }

 private:
  struct Service {
    string name;
    std::uint64_t slots = 0;       ///< of its registered workers
    bool answers = true;           ///< false: requests get no answer until they time out
    bool refuses = false;          ///< true: requests are refused at once
    std::uint64_t generation = 0;  ///< a request of an earlier one is broken off
    std::size_t requests = 0;
  };
  struct Result {
    std::uint32_t item = 0;
    bool finished = false;
  };
  struct Lot {
    LotRecord record;
    vector<ItemRecord> items;
    ItemQueue queue;
    vector<Result> unlisted, listed;
    bool stalled = false;
    TimePoint learnedAt;                        ///< from which the store counts the lot's age
    std::uint32_t position = 0;                 ///< for Mutation::positionBesideQueue
    std::map<std::uint32_t, ItemClaim> claims;  ///< the last one of each item, for Mutation::earlierStartCounts
  };
  /// The task that sends one item.
  struct Attempt {
    std::size_t lot = 0;
    ItemClaim claim;
    std::set<string> services;     ///< whose events it has
    std::optional<string> sentTo;  ///< while a request is under way
    std::uint64_t generation = 0;
    TimePoint wakesAt;
    Ms pause{2};
    bool ended = false;
  };

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  void note(string const& text);
  void fail(string const& what);
  Ms now() const { return std::chrono::duration_cast<Ms>(now_ - start_); }
  // Workers, configurations, troubles and holders: lot_queue_sim.cpp.
  Service& service(string const& name);
  std::uint64_t slotsOf(string const& name);
  /// Publishes another configuration; its routes are drawn.
  void configure(bool mayRemoveRoutes);
  void submit();
  void injectTrouble();
  void crash(Service& service);
  void endTroubles();
  void restart();
  /// A recovery of a lot: drops results that weren't listed, or brings some of another primary.
  void recover(Lot& lot);
  /// The second of two recoveries in a row; the lot is stalled between them.
  void recoverAgain();
  void listResults();

  // The primary: lot_queue_primary.cpp.
  LotRoute routeOf(Lot const& lot) const;
  GiveUpReason reasonFor(Lot const& lot) const;
  void giveUpItems();
  void startItems();
  vector<ScheduledLot> scheduledLots() const;
  std::optional<NextItem> choose(vector<ScheduledLot> lots);
  std::optional<NextItem> chooseByPosition(vector<ScheduledLot> lots);
  std::optional<NextItem> chooseWithOneLimit(vector<ScheduledLot> const& lots);
  std::optional<NextItem> chooseFromMostUrgent(vector<ScheduledLot> lots);
  ItemClaim claimOf(Attempt const& attempt) const;
  bool mayTryAgain(Attempt const& attempt);
  void advance(Attempt& attempt);
  void beginTry(Attempt& attempt);
  void endTry(Attempt& attempt);

  // Checks: lot_queue_primary.cpp.
  void checkGivenUp(Lot const& lot);
  void checkAttempts();
  void checkNoLotIsHeldBack();
  void checkEnds();

  std::mt19937_64 random_;
  Mutation mutation_;
  vector<Service> services_;
  std::shared_ptr<Configuration> configuration_;
  std::deque<Lot> lots_;
  std::list<Attempt> attempts_;
  TimePoint const start_ = TimePoint(Ms(1000000));
  TimePoint now_ = start_;
  std::optional<TimePoint> calmSince_;
  std::size_t recoveringLot_ = 0;
  TimePoint recoversAgainAt_ = TimePoint::max();
  bool hasLease_ = true, diskStalls_ = false;
  std::size_t unfinishedAtCalm_ = 0;
  std::size_t releases_ = 0, givenUp_ = 0, restarts_ = 0, droppedResults_ = 0;
  vector<string> trace_;
  string violation_;
};

}  // namespace tealshelf::sim
