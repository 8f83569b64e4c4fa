// Faults of the simulated machines and network, and the checks at the end.
#include "tests/lots/lot_fleet_sim.hpp"

namespace tealshelf::sim {

void LotFleet::injectFault() {
  Store& store = *stores_[pick(stores_.size())];
  Control& node = *controls_[pick(2) ? pick(controls_.size()) : committed_.owner];
  switch (pick(11)) {
    case 0:
    case 1:
    case 2:
    case 8:
      if (!partitionEndsAt_) partition();
      return;
    case 3:
      return stopStore(store, false);
    case 4:
      return stopStore(store, true);
    case 5:
      return wipe(store);
    case 6:
      return stopControl(node);
    case 9:
    case 10:
      // A planned change of owner; the preferred owner soon gets the keyspace back.
      if (runs(node) && hasMajority(node)) takeOver(node);
      return;
    default:
      node.frozenUntil = now_ + Ms(500 + static_cast<std::int64_t>(pick(3500)));
      note("control " + std::to_string(node.index) + " is frozen");
  }
}

void LotFleet::stopStore(Store& store, bool losesPower) {
  if (!store.up) return;
  // All writes of a killed process reach the disk; at a power failure only a prefix of them does.
  std::size_t keep = losesPower ? pick(store.pending.size() + 1) : store.pending.size();
  for (auto const& [doneAt, records] : store.pending) {
    if (!keep--) break;
    store.disk.insert(store.disk.end(), records.begin(), records.end());
  }
  store.up = false;
  store.upAgainAt = now_ + Ms(300 + static_cast<std::int64_t>(pick(4000)));
  store.countsAsLostUntil = store.upAgainAt + catchUp;
  note(store.self.name + " is down");
}

void LotFleet::stopControl(Control& node) {
  if (!node.up) return;
  node.up = false;
  ++node.incarnation;
  node.upAgainAt = now_ + Ms(300 + static_cast<std::int64_t>(pick(3000)));
  node.epoch.reset();
  node.lastHeartbeats.clear();
  node.lots.clear();
  // Stamps don't repeat after a restart, as a new ownership has a higher epoch.
  note("control " + std::to_string(node.index) + " is down");
}

std::size_t LotFleet::lostStores() const {
  bool const isCut = partitionEndsAt_ || now_ - healedAt_ < catchUp;
  return static_cast<std::size_t>(std::count_if(stores_.begin(), stores_.end(), [&](auto const& store) {
    return !store->up || now_ < store->countsAsLostUntil || (isCut && partitionedZones_.contains(store->self.zone));
  }));
}

void LotFleet::wipe(Store& store) {
  if (!store.up || lostStores() >= survive) return;
  stopStore(store, true);
  store.disk.clear();
  store.self.id = NodeId(++lastId_);
  ++wipes_;
  note(store.self.name + " loses its disk");
}

void LotFleet::powerOffAll(LotRecord const& lot) {
  vector<StoreRef> holders = lot.holders;
  std::shuffle(holders.begin(), holders.end(), random_);
  for (StoreRef const& holder : holders)
    if (storeOf(holder)->self.id == holder.id) wipe(*storeOf(holder));
  for (std::unique_ptr<Store> const& store : stores_) stopStore(*store, true);
}

void LotFleet::partition() {
  std::size_t const count = blocked_.size();
  string const zone = zoneOf(pick(count)), second = zoneOf(pick(count));
  std::uint64_t const kind = pick(4);
  auto const inFirstHalf = [](string const& name) { return name == "z0" || name == "z1"; };
  for (std::size_t from = 0; from < count; ++from)
    for (std::size_t to = 0; to < count; ++to) {
      string const &left = zoneOf(from), &right = zoneOf(to);
      bool blocks = (left == zone) != (right == zone);                  // one zone is isolated
      if (kind == 1) blocks = inFirstHalf(left) != inFirstHalf(right);  // two halves
      if (kind == 2) blocks = left == zone && right != zone;            // one zone can't send
      if (kind == 3) blocks = left != right && (left == zone || left == second) && (right == zone || right == second);
      blocked_[from][to] = blocks;
    }
  partitionedZones_ = {zone};
  if (kind == 1) partitionedZones_ = {"z0", "z1", "z2", "z3"};
  if (kind == 3) partitionedZones_ = {zone, second};
  partitionEndsAt_ = now_ + Ms(1500 + static_cast<std::int64_t>(pick(pick(3) ? 6000 : 20000)));
  note("partition of kind " + std::to_string(kind) + " at zones " + zone + " " + second);
}

void LotFleet::heal() {
  if (!partitionEndsAt_) return;
  partitionEndsAt_.reset();
  healedAt_ = now_;
  for (vector<bool>& row : blocked_) row.assign(row.size(), false);
  note("partition healed");
  if (pick(3) == 0) nextFaultAt_ = now_ + Ms(static_cast<std::int64_t>(pick(2500)));
}

void LotFleet::checkEnd() {
  for (string const& lot : accepted_) {
    auto const record = committed_.records.find(lot);
    if (record == committed_.records.end() || record->second.state != LotState::accepted)
      return fail(lot + " has no record");
    std::optional<std::size_t> const listed = read(record->second);
    if (!listed) return fail(lot + " can't be read at the end");
    if (*listed < seen_[lot].size()) return fail("a listed result disappeared from " + lot);
    if (*listed < items) return fail(lot + " isn't complete at the end");
  }
}

}  // namespace tealshelf::sim
