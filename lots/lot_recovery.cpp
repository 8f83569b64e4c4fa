// Upkeep of lots: recovery after the loss of a holder, and deletion of records that nobody needs any more.
#include "lots/lot_coordinator.hpp"

namespace tealshelf {

namespace {
/// Recoveries that are under way at once.
constexpr std::size_t maxRecoveries = 12;
}  // namespace

Task<void> LotCoordinator::upkeepLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / 30);
    vector<string> const keyspaces = ownedKeyspaces();
    for (string const& keyspace : keyspaces)
      if (driver_.consensus().owns(keyspace)) co_await maintain(keyspace);
  }
}

Task<void> LotCoordinator::maintain(string keyspace) {
  TimePoint const now = Clock::now();
  vector<KeyChange> deletions;
  vector<LotRecord> failing;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspace)) {
    LotRecord lot = deserialize<LotRecord>(record);
    LotStatus const& status = lots_[lot.key()];
    ages_.learn(lot.key(), now);
    if (isForgettable(lot, status, now))
      deletions.push_back(KeyChange{id, "", true});
    else if (needsRecovery(lot, status, now))
      failing.push_back(std::move(lot));
  }
  if (!deletions.empty()) co_await driver_.propose(keyspace, deletions);
  startRecoveries(std::move(failing));
}

bool LotCoordinator::isForgettable(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  bool const changing = status.recovering || (status.mutex && status.mutex->locked());
  if (changing) return false;
  Ms const age = ages_.atLeast(lot.key(), now);
  if (lot.state == LotState::opening) return age > 4 * settings_.bounds.confirmWithin;
  bool const complete = lot.state == LotState::ended || status.listedResults >= lot.itemCount;
  return complete && age > 2 * settings_.bounds.statusEvery + Ms(lot.keepForMs);
}

/// True if a lot's holders are not what they should be, and a recovery may be tried now.
bool LotCoordinator::needsRecovery(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  if (lot.state == LotState::opening || status.recovering) return false;
  auto const sinceLast = now - status.lastRecoveryAt;
  if (sinceLast < settings_.bounds.inTouch / 10) return false;
  if (status.primaryNeedsSettlement || !status.failedHolders.empty()) return true;
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  for (StoreRef const& holder : lot.holders)
    if (isDead(holder.id, now) || isDiskFailing(holder.id) || retiring.contains(holder.name)) return true;
  std::size_t const wanted = neededCopies() + 1;
  if (lot.holders.size() >= wanted || sinceLast <= settings_.bounds.inTouch / 3) return false;
  return choose(lot.id, status.failedHolders, lot.holders, wanted, now).size() > lot.holders.size();
}

/// Starts recoveries, of lots with unfinished items and of old ones first.
void LotCoordinator::startRecoveries(vector<LotRecord> lots) {
  auto const urgency = [this](LotRecord const& lot) {
    bool const complete = lots_[lot.key()].listedResults >= lot.itemCount;
    return std::make_pair(complete, lot.sentAtMs);
  };
  std::sort(lots.begin(), lots.end(),
            [&](LotRecord const& left, LotRecord const& right) { return urgency(left) < urgency(right); });
  for (LotRecord const& lot : lots) {
    if (recoveries_ >= maxRecoveries) break;
    LotStatus& status = lots_[lot.key()];
    if (status.recovering) continue;
    status.recovering = true;
    status.recoveryStartedAt = Clock::now();
    ++recoveries_;
    spawnTask(io_, "lot recovery", recover(lot.key()));
  }
}

char const* LotCoordinator::nameOf(RecoveryOutcome outcome) {
  switch (outcome) {
    case RecoveryOutcome::none:
      return "not tried";
    case RecoveryOutcome::recovered:
      return "recovered";
    case RecoveryOutcome::notOwner:
      return "not the owner";
    case RecoveryOutcome::busy:
      return "another change took too long";
    case RecoveryOutcome::noLiveHolder:
      return "no live holder";
    case RecoveryOutcome::primaryNotFenced:
      return "the former primary isn't fenced";
    case RecoveryOutcome::noIntactReplica:
      return "no intact replica at a live holder";
    case RecoveryOutcome::tooFewStores:
      return "too few stores for the copies";
    case RecoveryOutcome::notSettled:
      return "no survivor took the fresh stamp";
    case RecoveryOutcome::copiesRefused:
      return "copies were refused";
    case RecoveryOutcome::recordNotWritten:
      return "the record was not written";
  }
  return "unknown";
}

Task<void> LotCoordinator::recover(LotKey key) {
  RecoveryOutcome outcome = RecoveryOutcome::notOwner;
  try {
    AsyncMutex::Lock const held = co_await lock(key);
    std::optional<LotRecord> const lot = load(key);
    if (lot && driver_.consensus().owns(keyspaceOf(key.host))) outcome = co_await recoverLocked(*lot);
  } catch (std::exception const& error) {
    logDebug("lots", "recovery of " + key.id + ": " + error.what());
    outcome = RecoveryOutcome::busy;
  }
  noteOutcome(key, outcome);
  --recoveries_;
}

void LotCoordinator::noteOutcome(LotKey const& key, RecoveryOutcome outcome) {
  TimePoint const now = Clock::now();
  LotStatus& status = lots_[key];
  status.recovering = false;
  status.lastRecoveryAt = now;
  bool const changed = outcome != std::exchange(status.lastOutcome, outcome);
  if (outcome == RecoveryOutcome::recovered) {
    status.failedRecoveries = 0;
    return;
  }
  if (++status.failedRecoveries == 1) status.failingSince = now;
  if (!changed) return;
  std::int64_t const waitsMs = std::chrono::duration_cast<Ms>(now - status.failingSince).count();
  logWarning("lots", key.id + " waits for its recovery: " + nameOf(outcome) + "; tries " +
                         std::to_string(status.failedRecoveries) + ", waits for " + std::to_string(waitsMs) + " ms");
}

Task<bool> LotCoordinator::fenceEverywhere(NodeId store) {
  std::size_t fencedAt = 0;
  vector<Member> const members = driver_.consensus().membership().members;
  for (Member const& member : members) {
    try {
      FenceStore const request{store};
      Acknowledgement answer{false};
      if (member.id == driver_.consensus().self().id)
        answer = co_await fence(request);
      else
        answer = co_await rpc_.call(settings_.controlAddress(member.ip), request, settings_.bounds.inTouch / 6);
      if (answer.ok) ++fencedAt;
    } catch (Error const&) {
      // One that doesn't answer doesn't count.
    }
  }
  co_return fencedAt >= driver_.consensus().membership().quorum();
}

/// Collects stamps and lengths; replicas below the recorded stamp don't count.
Task<LotCoordinator::Survivors> LotCoordinator::inspectHolders(LotRecord lot, vector<StoreRef> holders) {
  Survivors survivors;
  for (StoreRef const& holder : holders) {
    try {
      InspectReplica const request{lot.host, lot.id};
      InspectReplicaReply const replica = co_await rpc_.call(holder.address, request, settings_.bounds.inTouch / 4);
      if (!replica.known || replica.stamp < lot.stamp) continue;
      survivors.stores.push_back(holder);
      survivors.shortest = std::min(survivors.shortest, replica.results);
    } catch (Error const&) {
      // It is no survivor.
    }
  }
  co_return survivors;
}

/// Settles replicas to a length under a fresh stamp; gives the holders that did.
Task<vector<StoreRef>> LotCoordinator::settleHolders(LotRecord lot, vector<StoreRef> holders, GenerationStamp stamp,
                                                     std::uint64_t length) {
  vector<StoreRef> settled;
  for (StoreRef const& holder : holders) {
    try {
      SettleReplica const request{lot.host, lot.id, lot.stamp, stamp, length};
      co_await rpc_.call(holder.address, request, settings_.bounds.inTouch / 4);
      settled.push_back(holder);
    } catch (Error const&) {
      // Its replica is stale from now on.
    }
  }
  co_return settled;
}

/// The paper's recovery: stamps are collected, those at or above the recorded one kept, the shortest length settled
/// under a fresh stamp, and only then the record is written.
Task<LotCoordinator::RecoveryOutcome> LotCoordinator::recoverLocked(LotRecord lot) {
  TimePoint const now = Clock::now();
  string const keyspace = keyspaceOf(lot.host);
  Epoch const epoch = driver_.consensus().epochOf(keyspace);
  LotStatus& status = lots_[lot.key()];
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  std::set<NodeId> const failed = status.failedHolders;
  vector<StoreRef> live;
  for (StoreRef const& holder : lot.holders)
    if (!isDead(holder.id, now) && !isDiskFailing(holder.id) && !failed.contains(holder.id)) live.push_back(holder);
  if (live.empty()) {
    status.failedHolders.clear();
    co_return RecoveryOutcome::noLiveHolder;
  }
  if (live[0].id != lot.holders[0].id) {
    bool const fenced = co_await fenceEverywhere(lot.holders[0].id);
    if (!fenced) co_return RecoveryOutcome::primaryNotFenced;
  }
  Survivors const survivors = co_await inspectHolders(lot, live);
  // The record never names fewer than survive a loss, unless it did: the stores that are away may come back with the
  // other copies, and nothing could be listed with one copy anyway.
  std::size_t const minHolders = std::min(neededCopies(), lot.holders.size());
  auto const choosing = [&](vector<StoreRef> const& holders, std::size_t count) {
    auto const without = [&](std::set<NodeId> const& excluded) {
      return choose(lot.id, excluded, holders, count, Clock::now());
    };
    return storesForRecovery(without, failed, minHolders);
  };
  if (survivors.stores.empty()) co_return RecoveryOutcome::noIntactReplica;
  if (choosing(survivors.stores, neededCopies()).size() < minHolders) co_return RecoveryOutcome::tooFewStores;
  // Only a node that still owns the keyspace, under the epoch it began with, may give a stamp.
  if (!driver_.consensus().owns(keyspace) || driver_.consensus().epochOf(keyspace) != epoch)
    co_return RecoveryOutcome::notOwner;
  GenerationStamp const stamp = freshStamp(lot.host);
  vector<StoreRef> settled = co_await settleHolders(lot, survivors.stores, stamp, survivors.shortest);
  if (settled.empty()) co_return RecoveryOutcome::notSettled;
  LotRecord recovered = lot;
  recovered.stamp = stamp;
  // Stores that stay come first, so that one of them is the primary.
  std::stable_partition(settled.begin(), settled.end(),
                        [&retiring](StoreRef const& store) { return !retiring.contains(store.name); });
  vector<StoreRef> staying;
  for (StoreRef const& store : settled)
    if (!retiring.contains(store.name)) staying.push_back(store);
  vector<StoreRef> const chosen = choosing(staying, neededCopies() + 1);
  for (std::size_t i = staying.size(); i < chosen.size(); ++i) {
    recovered.holders = {chosen[i]};
    try {
      CopyReplica const request{recovered, settled[0].address};
      co_await rpc_.call(chosen[i].address, request, settings_.bounds.inTouch / 2);
      staying.push_back(chosen[i]);
    } catch (Error const& error) {
      // The lot does without this copy.
      logInfo("lots", lot.id + ": " + chosen[i].name + " refused a copy: " + error.what());
    }
  }
  recovered.holders = holdersAfterRecovery(settled, staying, neededCopies());
  if (recovered.holders.size() < minHolders) {
    logWarning("lots", lot.id + " is left at stamp " + hex(lot.stamp.value) + " in its record; " +
                           std::to_string(settled.size()) + " intact replicas carry " + hex(stamp.value));
    co_return RecoveryOutcome::copiesRefused;
  }
  bool const saved = co_await save(recovered);
  if (!saved) co_return RecoveryOutcome::recordNotWritten;
  status.failedHolders.clear();
  status.primaryNeedsSettlement = false;
  string names;
  for (StoreRef const& holder : recovered.holders) names += " " + holder.name;
  logInfo("lots", lot.id + " is recovered under stamp " + hex(stamp.value) + " with " +
                      std::to_string(survivors.shortest) + " results at" + names);
  co_return RecoveryOutcome::recovered;
}

}  // namespace tealshelf
