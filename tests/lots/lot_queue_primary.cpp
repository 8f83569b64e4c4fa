// The primary of the lots, and the checks.
#include "tests/lots/lot_queue_sim.hpp"

namespace tealshelf::sim {

namespace {
constexpr Ms maxPause{120}, applyWithin{2000};
constexpr double meanItemMs = 350;
}  // namespace

LotRoute LotQueueSim::routeOf(Lot const& lot) const {
  return findLotRoute(lot.record, lot.items.front().path, *configuration_);
}

GiveUpReason LotQueueSim::reasonFor(Lot const& lot) const {
  Ms const age = std::chrono::duration_cast<Ms>(now_ - lot.learnedAt);
  return giveUpReason(lot.record, routeOf(lot), age, applyWithin);
}

void LotQueueSim::giveUpItems() {
  for (Lot& lot : lots_) {
    if (lot.stalled || lot.queue.queued().empty() || reasonFor(lot) == GiveUpReason::none) continue;
    LotRoute const found = routeOf(lot);
    bool const canStart = !found.route || slotsOf(found.route->shares.front().service) > 0;
    if (mutation_ == Mutation::givingUpNeedsWorkers && !canStart) continue;
    checkGivenUp(lot);
    vector<std::uint32_t> const givenUp = lot.queue.finishQueued();
    for (std::uint32_t const item : givenUp) lot.unlisted.push_back({item, false});
    givenUp_ += givenUp.size();
    note(lot.record.id + " gives up " + std::to_string(givenUp.size()) + " items");
  }
}

vector<ScheduledLot> LotQueueSim::scheduledLots() const {
  vector<ScheduledLot> lots;
  for (Lot const& lot : lots_)
    lots.push_back({&lot.queue, routeOf(lot).route, lot.record.dueInMs,
                    lot.record.submittedAtMs + lot.record.dueInMs - now().count(), !lot.stalled});
  return lots;
}

std::optional<NextItem> LotQueueSim::choose(vector<ScheduledLot> lots) {
  if (mutation_ == Mutation::positionBesideQueue) return chooseByPosition(std::move(lots));
  if (mutation_ == Mutation::oneLimitForAllServices) return chooseWithOneLimit(lots);
  if (mutation_ == Mutation::mostUrgentLotOnly) return chooseFromMostUrgent(std::move(lots));
  return nextItem(
      lots, [this](string const& name) { return slotsOf(name); }, meanItemMs);
}

std::optional<NextItem> LotQueueSim::chooseByPosition(vector<ScheduledLot> lots) {
  for (;;) {
    std::optional<NextItem> next = nextItem(
        lots, [this](string const& name) { return slotsOf(name); }, meanItemMs);
    if (!next) return std::nullopt;
    Lot& lot = lots_[next->lot];
    auto const item = lot.queue.queued().lower_bound(lot.position);
    if (item != lot.queue.queued().end()) {
      next->item = *item;
      next->service = serviceOf(lot.queue.record(*item), *lots[next->lot].route);
      lot.position = *item + 1;
      return next;
    }
    lots[next->lot].mayStart = false;
  }
}

std::optional<NextItem> LotQueueSim::chooseWithOneLimit(vector<ScheduledLot> const& lots) {
  std::optional<NextItem> const next = nextItem(
      lots, [this](string const& name) { return slotsOf(name); }, meanItemMs);
  std::size_t running = 0;
  for (Lot const& lot : lots_) running += lot.queue.running();
  if (!next || static_cast<double>(running) >= static_cast<double>(slotsOf(next->service)) / 2) return std::nullopt;
  return next;
}

std::optional<NextItem> LotQueueSim::chooseFromMostUrgent(vector<ScheduledLot> lots) {
  ScheduledLot* mostUrgent = nullptr;
  for (ScheduledLot& lot : lots) {
    bool const mayStart = std::exchange(lot.mayStart, false);
    if (!mayStart || lot.items->queued().empty() || !lot.route || !slotsOf(lot.route->shares.front().service)) continue;
    if (!mostUrgent || lot.remainingMs < mostUrgent->remainingMs) mostUrgent = &lot;
  }
  if (!mostUrgent) return std::nullopt;
  mostUrgent->mayStart = true;
  return nextItem(
      lots, [this](string const& name) { return slotsOf(name); }, meanItemMs);
}

void LotQueueSim::startItems() {
  if (!hasLease_) return;
  giveUpItems();
  for (;;) {
    std::optional<NextItem> const next = choose(scheduledLots());
    if (!next) break;
    Lot& lot = lots_[next->lot];
    Attempt attempt;
    attempt.lot = next->lot;
    attempt.claim = lot.queue.start(next->item, next->service);
    attempt.wakesAt = now_ + step;
    lot.claims[next->item] = attempt.claim;
    attempts_.push_back(attempt);
  }
  checkNoLotIsHeldBack();
}

ItemClaim LotQueueSim::claimOf(Attempt const& attempt) const {
  if (mutation_ != Mutation::earlierStartCounts) return attempt.claim;
  return lots_[attempt.lot].claims.at(attempt.claim.item);
}

bool LotQueueSim::mayTryAgain(Attempt const& attempt) {
  Lot const& lot = lots_[attempt.lot];
  Route const* const route = routeOf(lot).route;
  if (reasonFor(lot) != GiveUpReason::none) return false;
  if (mutation_ == Mutation::continuesAtAnotherService)
    return lot.queue.isHeld(attempt.claim) && route &&
           slotsOf(serviceOf(lot.queue.record(attempt.claim.item), *route)) > 0;
  return mayTry(lot.queue, claimOf(attempt), route, [this](string const& name) { return slotsOf(name); });
}

void LotQueueSim::advance(Attempt& attempt) {
  if (now_ < attempt.wakesAt) return;
  if (attempt.sentTo) endTry(attempt);
  if (attempt.ended) return;
  if (mayTryAgain(attempt)) return beginTry(attempt);
  Lot& lot = lots_[attempt.lot];
  if (lot.queue.isHeld(claimOf(attempt))) ++releases_;
  lot.queue.release(claimOf(attempt));
  attempt.ended = true;
}

void LotQueueSim::beginTry(Attempt& attempt) {
  Lot const& lot = lots_[attempt.lot];
  Service& to = service(serviceOf(lot.queue.record(attempt.claim.item), *routeOf(lot).route));
  if (to.refuses || to.requests >= to.slots) {
    attempt.wakesAt = now_ + attempt.pause;
    attempt.pause = std::min(attempt.pause * 2, maxPause);
    return;
  }
  ++to.requests;
  attempt.sentTo = to.name;
  attempt.generation = to.generation;
  Ms const duration = Ms(100 + static_cast<std::int64_t>(pick(static_cast<std::uint64_t>(longestRun.count()) - 100)));
  attempt.wakesAt = now_ + (to.answers ? duration : requestTimeout);
}

void LotQueueSim::endTry(Attempt& attempt) {
  Service& from = service(*attempt.sentTo);
  --from.requests;
  attempt.sentTo.reset();
  bool const isBroken = attempt.generation != from.generation || !from.answers || pick(20) == 0;
  if (!isBroken || pick(2) == 0) attempt.services.insert(from.name);
  Lot& lot = lots_[attempt.lot];
  if (isBroken || !lot.queue.isHeld(claimOf(attempt))) return;
  if (attempt.services.size() > 1) fail(lot.record.id + " has a result made of runs at two services");
  lot.queue.finish(claimOf(attempt));
  lot.unlisted.push_back({attempt.claim.item, true});
  attempt.ended = true;
}

void LotQueueSim::checkGivenUp(Lot const& lot) {
  bool const isRemoved = std::none_of(configuration_->routes.begin(), configuration_->routes.end(),
                                      [&lot](Route const& route) { return route.prefix == lot.record.routePrefix; });
  bool const isOver = now().count() - lot.record.submittedAtMs > lot.record.keepForMs;
  if (!isRemoved && !isOver) fail(lot.record.id + " gives items up without a reason");
}

void LotQueueSim::checkAttempts() {
  for (std::size_t number = 0; number < lots_.size(); ++number) {
    ItemQueue const& queue = lots_[number].queue;
    std::map<std::uint32_t, std::size_t> holders;
    for (Attempt const& attempt : attempts_)
      if (attempt.lot == number && queue.isHeld(claimOf(attempt))) ++holders[attempt.claim.item];
    for (auto const& [item, count] : holders)
      if (count > 1) fail(lots_[number].record.id + " runs an item by two tasks");
    if (holders.size() != queue.running()) fail(lots_[number].record.id + " has a running item without a task");
  }
}

void LotQueueSim::checkNoLotIsHeldBack() {
  for (ScheduledLot const& lot : scheduledLots()) {
    if (!lot.route || !lot.mayStart) continue;
    for (std::uint32_t const item : lot.items->queued()) {
      string const& name = serviceOf(lot.items->record(item), *lot.route);
      bool const isIdle = std::none_of(lots_.begin(), lots_.end(), [&name](Lot const& other) {
        return other.queue.runningByService().contains(name);
      });
      if (slotsOf(name) && isIdle) return fail("an item waits, though no item runs for its service");
    }
  }
}

void LotQueueSim::checkEnds() {
  if (!calmSince_) return;
  for (Lot const& lot : lots_) {
    if (lot.listed.size() == lot.items.size()) continue;
    Route const* const route = routeOf(lot).route;
    bool const hasWorkers = route && std::all_of(route->shares.begin(), route->shares.end(),
                                                 [this](TrafficShare const& share) { return slotsOf(share.service); });
    TimePoint const byWork = *calmSince_ + requestTimeout + longestRun * static_cast<int>(unfinishedAtCalm_);
    TimePoint const byTime =
        std::max(*calmSince_, lot.learnedAt + Ms(lot.record.keepForMs)) + requestTimeout + 2 * longestRun;
    if (now_ > (hasWorkers ? std::min(byWork, byTime) : byTime)) fail(lot.record.id + " has items that never end");
  }
}

}  // namespace tealshelf::sim
