// Workers, configurations, troubles and the holders of the lots.
#include "tests/lots/lot_queue_sim.hpp"

namespace tealshelf::sim {

namespace {
constexpr Ms troublesEnd{60000};
constexpr std::size_t maxLots = 8, routeCount = 3;
constexpr std::uint64_t minCalmSlots = 4;
string const simHost = "h";

string prefixOf(std::size_t route) {
  return "/r" + std::to_string(route) + "/";
}
}  // namespace

LotQueueSim::LotQueueSim(std::uint64_t seed, Mutation mutation) : random_(seed), mutation_(mutation) {
  for (char const* const name : {"a", "b", "c"}) {
    services_.push_back({});
    services_.back().name = name;
    services_.back().slots = 2 + pick(12);
  }
  configure(false);
}

void LotQueueSim::note(string const& text) {
  trace_.push_back(std::to_string(now().count()) + " " + text);
}

void LotQueueSim::fail(string const& what) {
  note("violation: " + what);
  if (violation_.empty()) violation_ = what + " at " + std::to_string(now().count()) + " ms";
}

string LotQueueSim::run() {
  while (violation_.empty()) {
    now_ += step;
    if (!calmSince_ && now() >= troublesEnd) endTroubles();
    if (!calmSince_ && lots_.size() < maxLots && pick(300) == 0) submit();
    if (!calmSince_ && pick(80) == 0) injectTrouble();
    recoverAgain();
    for (Attempt& attempt : attempts_) advance(attempt);
    attempts_.remove_if([](Attempt const& attempt) { return attempt.ended; });
    startItems();
    listResults();
    checkAttempts();
    checkEnds();
    bool const allEnded =
        std::all_of(lots_.begin(), lots_.end(), [](Lot const& lot) { return lot.listed.size() == lot.items.size(); });
    if (calmSince_ && allEnded) break;
  }
  return violation_;
}

LotQueueSim::Service& LotQueueSim::service(string const& name) {
  return *std::find_if(services_.begin(), services_.end(),
                       [&name](Service const& service) { return service.name == name; });
}

std::uint64_t LotQueueSim::slotsOf(string const& name) {
  return service(name).slots;
}

void LotQueueSim::configure(bool mayRemoveRoutes) {
  std::shared_ptr<Configuration> const next = std::make_shared<Configuration>();
  next->version = configuration_ ? configuration_->version + 1 : 1;
  for (std::size_t number = 0; number < routeCount; ++number) {
    if (mayRemoveRoutes && pick(10) == 0) continue;
    Route route;
    route.host = simHost;
    route.prefix = prefixOf(number);
    route.kind = RouteKind::bulk;
    std::size_t const first = pick(services_.size());
    route.shares.push_back({services_[first].name, 1 + pick(9)});
    if (pick(4) == 0) route.shares.push_back({services_[(first + 1) % services_.size()].name, 1 + pick(9)});
    for (TrafficShare const& share : route.shares) route.totalWeight += share.weight;
    next->routes.push_back(route);
    next->routesByHost[simHost].push_back(static_cast<std::uint32_t>(next->routes.size() - 1));
  }
  configuration_ = next;
  note("configuration " + std::to_string(next->version) + " with " + std::to_string(next->routes.size()) + " routes");
}

void LotQueueSim::submit() {
  if (configuration_->routes.empty()) return;
  Lot lot;
  lot.record.id = "lot-" + std::to_string(lots_.size());
  lot.record.host = simHost;
  lot.record.routePrefix = configuration_->routes[pick(configuration_->routes.size())].prefix;
  lot.record.configurationVersion = configuration_->version;
  lot.record.dueInMs = 2000 + static_cast<std::int64_t>(pick(8000));
  lot.record.keepForMs = 20000 + static_cast<std::int64_t>(pick(60000));
  lot.record.submittedAtMs = now().count();
  lot.record.itemCount = 5 + pick(25);
  for (std::size_t number = 0; number < lot.record.itemCount; ++number)
    lot.items.push_back({lot.record.id + "-" + std::to_string(number), "/x", "body", {}, 1 + pick(50)});
  lot.queue = ItemQueue(lot.items);
  lot.learnedAt = now_;
  note(lot.record.id + " is submitted, " + std::to_string(lot.items.size()) + " items on " + lot.record.routePrefix);
  lots_.push_back(std::move(lot));
}

void LotQueueSim::crash(Service& service) {
  ++service.generation;
  for (Attempt& attempt : attempts_)
    if (attempt.sentTo == service.name) attempt.wakesAt = now_ + step;
}

void LotQueueSim::injectTrouble() {
  Service& service = services_[pick(services_.size())];
  switch (pick(10)) {
    case 0:
      note(service.name + " loses its workers");
      service.slots = 0;
      return crash(service);
    case 1:
    case 2:
      note(service.name + " has workers");
      service = {service.name, 1 + pick(14), true, false, service.generation + 1, service.requests};
      return crash(service);
    case 3:
      note(service.name + (service.answers ? " stops answering" : " answers again"));
      service.answers = !service.answers;
      return;
    case 4:
      note(service.name + (service.refuses ? " accepts again" : " refuses"));
      service.refuses = !service.refuses;
      return;
    case 5:
      return configure(true);
    case 6:
      hasLease_ = !hasLease_;
      return note(hasLease_ ? "the lease is granted" : "the lease is lost");
    case 7:
      diskStalls_ = !diskStalls_;
      return note(diskStalls_ ? "the disk stalls" : "the disk works");
    case 8:
      if (pick(4) == 0) return restart();
      return;
    default:
      if (lots_.empty()) return;
      if (recoversAgainAt_ != TimePoint::max()) return;
      recoveringLot_ = pick(lots_.size());
      recover(lots_[recoveringLot_]);
      lots_[recoveringLot_].stalled = true;
      recoversAgainAt_ = now_ + Ms(static_cast<std::int64_t>(pick(1000)));
  }
}

void LotQueueSim::endTroubles() {
  note("calm");
  calmSince_ = now_;
  hasLease_ = true;
  diskStalls_ = false;
  // In one run of two a service stays without workers.
  std::size_t const without = pick(2 * services_.size());
  for (std::size_t number = 0; number < services_.size(); ++number) {
    Service& service = services_[number];
    std::uint64_t const slots = without == number ? 0 : minCalmSlots + pick(12);
    service = {service.name, slots, true, false, service.generation + 1, service.requests};
    crash(service);
  }
  for (Lot const& lot : lots_) unfinishedAtCalm_ += lot.items.size() - lot.listed.size();
}

void LotQueueSim::restart() {
  note("the store restarts");
  ++restarts_;
  for (Attempt const& attempt : attempts_)
    if (attempt.sentTo) --service(*attempt.sentTo).requests;
  attempts_.clear();
  for (Lot& lot : lots_) {
    lot.queue = ItemQueue(lot.items);
    lot.unlisted.clear();
    lot.claims.clear();
    lot.learnedAt = now_;
    recover(lot);
  }
}

void LotQueueSim::recover(Lot& lot) {
  std::size_t const before = lot.unlisted.size();
  std::erase_if(lot.unlisted, [this](Result const&) { return pick(2) == 0; });
  droppedResults_ += before - lot.unlisted.size();
  std::set<std::uint32_t> withResult;
  for (Result const& result : lot.listed) withResult.insert(result.item);
  for (Result const& result : lot.unlisted) withResult.insert(result.item);
  for (std::uint32_t item = 0; item < lot.items.size(); ++item)
    if (pick(8) == 0 && withResult.insert(item).second) lot.unlisted.push_back({item, true});
  lot.queue.restore(withResult, [&lot] { return lot.items; });
  lot.position = 0;
}

void LotQueueSim::recoverAgain() {
  if (now_ < recoversAgainAt_) return;
  recoversAgainAt_ = TimePoint::max();
  lots_[recoveringLot_].stalled = false;
  recover(lots_[recoveringLot_]);
}

void LotQueueSim::listResults() {
  if (diskStalls_ || pick(4) != 0) return;
  for (Lot& lot : lots_) {
    if (lot.stalled) continue;
    lot.listed.insert(lot.listed.end(), lot.unlisted.begin(), lot.unlisted.end());
    lot.unlisted.clear();
    std::set<std::uint32_t> items;
    for (Result const& result : lot.listed)
      if (!items.insert(result.item).second) fail(lot.record.id + " lists an item twice");
  }
}

}  // namespace tealshelf::sim
