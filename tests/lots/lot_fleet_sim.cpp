// Machines, links, disks and keyspace ownership of the simulated lots.
#include "tests/lots/lot_fleet_sim.hpp"

namespace tealshelf::sim {

LotFleet::LotFleet(std::uint64_t seed, Mutation mutation, Ms length)
    : random_(seed), mutation_(mutation), length_(length) {
  std::size_t const zones = 3 + pick(2), controls = 5 + pick(4), stores = 2 * zones + pick(3);
  for (std::size_t i = 0; i < controls; ++i) {
    controls_.push_back(std::make_unique<Control>());
    controls_[i]->index = i;
    controls_[i]->zone = "z" + std::to_string(i % zones);
    controls_[i]->leases = std::make_unique<LeaseGrants>(inTouch / 5, now_);
  }
  for (std::size_t i = 0; i < stores; ++i) {
    stores_.push_back(std::make_unique<Store>());
    Store& store = *stores_[i];
    store.index = i;
    store.self = {
        NodeId(++lastId_), "s" + std::to_string(i), "z" + std::to_string(i % zones), {"", static_cast<int>(i)}};
  }
  blocked_.assign(controls + stores, vector<bool>(controls + stores, false));
  takeOver(*controls_[0]);
}

string LotFleet::run() {
  while (elapsed_ < length_ && violation_.empty()) {
    if (pick(220) == 0) injectFault();
    if (nextFaultAt_ != TimePoint() && now_ >= nextFaultAt_) {
      nextFaultAt_ = TimePoint();
      injectFault();
    }
    if (powerOff_) powerOffAll(*std::exchange(powerOff_, std::nullopt));
    if (elapsed_ > Ms(1500) && lotCount_ < maxLots && pick(120) == 0) submit();
    if (pick(4) == 0) startRead();
    advance();
  }
  heal();
  finishing_ = true;
  for (Ms waited(0); waited < 4 * catchUp && violation_.empty(); waited += step) advance();
  if (violation_.empty()) checkEnd();
  return violation_;
}

void LotFleet::note(string const& text) {
  trace_.push_back(std::to_string(elapsed_.count()) + " ms: " + text);
}

void LotFleet::fail(string const& what) {
  if (violation_.empty()) violation_ = what + " at " + std::to_string(elapsed_.count()) + " ms";
}

string const& LotFleet::zoneOf(std::size_t machine) const {
  return machine < controls_.size() ? controls_[machine]->zone : stores_[machine - controls_.size()]->self.zone;
}

bool LotFleet::hasMajority(Control const& node) const {
  std::size_t reached = 0;
  for (std::unique_ptr<Control> const& other : controls_) reached += runs(*other) && linked(node.index, other->index);
  return reached > controls_.size() / 2;
}

void LotFleet::startStore(Store& store) {
  ++store.incarnation;
  store.up = true;
  store.table = ReplicaTable();
  for (string const& record : store.disk) store.table.replay(record);
  store.pending.clear();
  store.syncsStarted = store.syncsDone = 0;
  store.grantedAt.clear();
  store.lots.clear();
  store.unusable.clear();
  store.runs.clear();
  ++store.lease;
}

void LotFleet::flush(Store& store) {
  // Some syncs are slow.
  Ms const duration(5 + static_cast<std::int64_t>(pick(12) ? pick(15) : pick(400)));
  TimePoint done = now_ + duration;
  if (!store.pending.empty()) done = std::max(done, store.pending.back().first);
  store.pending.emplace_back(done, store.table.takeRecords());
  ++store.syncsStarted;
}

void LotFleet::advance() {
  now_ += step;
  elapsed_ += step;
  if (partitionEndsAt_ && now_ >= *partitionEndsAt_) heal();
  chooseOwner();
  for (std::unique_ptr<Control> const& node : controls_) advanceControl(*node);
  for (std::unique_ptr<Store> const& store : stores_) advanceStore(*store);
  advanceCalls();
  for (RecoveryTask& task : tasks_) advanceRecovery(task);
  tasks_.remove_if([](RecoveryTask const& task) { return task.ended; });
  for (Submission& submission : submissions_) advanceSubmission(submission);
  submissions_.remove_if([](Submission const& submission) { return submission.ended; });
  vector<Reader> due;
  for (Reader const& reader : readers_)
    if (now_ >= reader.dueAt) due.push_back(reader);
  std::erase_if(readers_, [this](Reader const& reader) { return now_ >= reader.dueAt; });
  for (Reader const& reader : due) finishRead(reader);
}

void LotFleet::advanceControl(Control& node) {
  if (!node.up && (now_ >= node.upAgainAt || finishing_)) {
    node.up = true;
    node.leases = std::make_unique<LeaseGrants>(inTouch / 5, now_);
  }
  if (!runs(node)) return;
  if (hasMajority(node)) node.majorityAt = now_;
  // A node that was cut off or frozen believes that it is the owner until it checks.
  bool const isOverdue = now_ - node.majorityAt > inTouch * 6 / 10;
  bool const learnsOfNewOwner = node.epoch && committed_.epoch != *node.epoch && linked(node.index, committed_.owner) &&
                                runs(*controls_[committed_.owner]) && pick(20) == 0;
  if (node.epoch && (isOverdue || learnsOfNewOwner)) node.epoch.reset();
  if (node.epoch && now_ >= node.nextUpkeepAt) {
    node.nextUpkeepAt = now_ + inTouch / 30;
    startDueRecoveries(node);
  }
}

void LotFleet::chooseOwner() {
  Control& owner = *controls_[committed_.owner];
  bool const isHealthy = runs(owner) && owner.epoch == committed_.epoch && hasMajority(owner);
  if (isHealthy) committed_.ownerUnhealthySince = now_;
  Control& preferred = *controls_[0];
  bool const mayReturn = committed_.owner != 0 && runs(preferred) && hasMajority(preferred);
  if (!mayReturn) committed_.preferredHealthySince = now_;
  if (now_ - committed_.preferredHealthySince > Ms(300) && pick(40) == 0) return takeOver(preferred);
  if (now_ - committed_.ownerUnhealthySince < Ms(900) || pick(20)) return;
  Control& candidate = *controls_[pick(controls_.size())];
  if (runs(candidate) && hasMajority(candidate)) takeOver(candidate);
}

void LotFleet::takeOver(Control& node) {
  if (node.epoch != std::nullopt || committed_.owner != node.index || committed_.epoch != 1) ++committed_.epoch;
  committed_.owner = node.index;
  committed_.ownerUnhealthySince = now_;
  node.epoch = committed_.epoch;
  node.records = committed_.records;
  node.majorityAt = now_;
  note("control " + std::to_string(node.index) + "  owns the keyspace under epoch " + std::to_string(committed_.epoch));
  if (pick(3) == 0) nextFaultAt_ = now_ + Ms(static_cast<std::int64_t>(pick(1500)));
}

bool LotFleet::confirmsOwnership(Control const& node) const {
  return node.epoch == committed_.epoch && committed_.owner == node.index && hasMajority(node);
}

bool LotFleet::commit(Control& node, LotRecord const& lot, std::uint64_t under) {
  bool const isCurrentEpoch = node.epoch == under || mutation_ == Mutation::staleOwnerWrites;
  if (!isCurrentEpoch || !confirmsOwnership(node)) return false;
  LotRecord& record = committed_.records[lot.id];
  if (lot.stamp < record.stamp || lot.state < record.state)
    fail("the record of " + lot.id + " goes back to an older stamp or state");
  record = lot;
  checkHolders(lot);
  node.records[lot.id] = lot;
  // Sometimes the commit isn't reported, and the ownership ends.
  bool const isUnknown = pick(25) == 0;
  if (isUnknown) node.epoch.reset();
  return !isUnknown;
}

/// Checks that each holder that a record names has the replica on its disk.
void LotFleet::checkHolders(LotRecord const& lot) {
  if (lot.state == LotState::opening) return;
  for (StoreRef const& holder : lot.holders) {
    Store const& store = *storeOf(holder);
    if (store.self.id != holder.id) continue;
    ReplicaTable synced;
    for (string const& record : store.disk) synced.replay(record);
    if (!synced.holds(lot.key(), lot.stamp))
      fail("the record of " + lot.id + " names " + holder.name + ", which has no synced replica");
  }
}

LotFleet::Store* LotFleet::storeOf(StoreRef const& ref) {
  return stores_[static_cast<std::size_t>(ref.address.port)].get();
}

LotFleet::CallPtr LotFleet::callStore(std::size_t fromMachine, StoreRef const& to, std::function<bool(Store&)> apply,
                                      Ms limit, bool waitsForSync) {
  CallPtr const call = std::make_shared<StoreCall>();
  Store& store = *storeOf(to);
  call->store = store.index;
  call->incarnation = store.incarnation;
  call->arrivesAt = now_ + randomDelay();
  call->end = now_ + limit;
  call->apply = [this, fromMachine, &store, apply = std::move(apply), waitsForSync, raw = call.get()] {
    if (!store.up || !linked(fromMachine, machineOf(store))) return false;
    raw->reached = true;
    raw->incarnation = store.incarnation;
    try {
      if (!apply(store)) return false;
    } catch (Error const&) {
      return false;
    }
    flush(store);
    raw->syncs = waitsForSync ? store.syncsStarted : 0;
    return true;
  };
  calls_.push_back(call);
  return call;
}

void LotFleet::advanceCalls() {
  vector<CallPtr> const calls = calls_;
  for (CallPtr const& call : calls) {
    Store const& store = *stores_[call->store];
    if (!call->applied && now_ >= call->arrivesAt) {
      call->applied = true;
      call->accepted = call->apply();
      // A call to an unreachable store ends by its time limit.
      if (!call->accepted && call->reached) call->done = true;
    }
    bool const synced = call->accepted && store.incarnation == call->incarnation && store.syncsDone >= call->syncs;
    if (synced) call->done = true;
    if (now_ >= call->end && !call->done) {
      call->done = true;
      call->accepted = false;
    }
  }
  std::erase_if(calls_, [](CallPtr const& call) { return call->done; });
}

void LotFleet::advanceStore(Store& store) {
  if (!store.up) {
    if (now_ < store.upAgainAt && !finishing_) return;
    startStore(store);
  }
  while (!store.pending.empty() && store.pending.front().first <= now_) {
    vector<string> const& records = store.pending.front().second;
    store.disk.insert(store.disk.end(), records.begin(), records.end());
    store.pending.pop_front();
    ++store.syncsDone;
    if (store.pending.empty() && pick(60) == 0) store.disk = store.table.snapshot();
  }
  if (now_ >= store.nextHeartbeatAt) {
    store.nextHeartbeatAt = now_ + inTouch / 18;
    sendHeartbeats(store);
  }
  for (auto& [key, run] : store.runs) appendNextResult(store, run);
}

}  // namespace tealshelf::sim
