// Upkeep of lots: which records are deleted, and which lots need a recovery, in which order.
#include "base/invariant.hpp"
#include "lots/lot_coordinator.hpp"

namespace tealshelf {

namespace {
/// Recoveries that are under way at once.
constexpr std::size_t maxRecoveries = 12;
/// The pause before a failed recovery is tried again doubles so often at the most.
constexpr std::size_t maxPauseDoublings = 4;
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
  vector<PendingRecovery> pending;
  std::size_t named = 0, needed = 0;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspace)) {
    LotRecord lot = deserialize<LotRecord>(record);
    LotStatus const& status = lots_[lot.key()];
    ages_.learn(lot.key(), now);
    named += lot.holders.size();
    // The spare copy of a lot that goes on isn't given up for room.
    needed += lot.isSealed() ? std::min(lot.holders.size(), neededCopies()) : lot.holders.size();
    if (isForgettable(lot, status, now)) {
      deletions.push_back(KeyChange{id, "", true});
      continue;
    }
    RecoveryNeed const need = needOf(lot, status, now);
    if (need != RecoveryNeed::none) pending.push_back({std::move(lot), need});
  }
  if (named) neededCopyShare_ = static_cast<double>(needed) / static_cast<double>(named);
  if (!deletions.empty()) co_await driver_.propose(keyspace, deletions);
  startRecoveries(std::move(pending));
}

bool LotCoordinator::isForgettable(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  bool const changing = status.recovering || (status.mutex && status.mutex->locked());
  if (changing) return false;
  Ms const age = ages_.atLeast(lot.key(), now);
  if (lot.state == LotState::opening)
    return age > 4 * settings_.bounds.confirmWithin && !mayBeAccepted(lot.key(), settings_.bounds.inTouch);
  bool const complete = lot.state == LotState::ended || lot.isSealed() || status.listedResults >= lot.itemCount;
  return complete && age > 2 * settings_.bounds.statusEvery + Ms(lot.keepForMs);
}

Ms LotCoordinator::retryPause(LotStatus const& status, RecoveryNeed need) const {
  bool const urgent = need == RecoveryNeed::serve || need == RecoveryNeed::seal;
  Ms const first = settings_.bounds.inTouch / (urgent ? 10 : 3);
  // What is needed to serve is tried again at once; each try may find the store that was away.
  std::size_t const doublings = urgent ? 0 : std::min(status.failedRecoveries, maxPauseDoublings);
  return first * (1 << doublings);
}

RecoveryNeed LotCoordinator::needOf(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  if (lot.state == LotState::opening || status.recovering) return RecoveryNeed::none;
  RecoveryNeed need = RecoveryNeed::none;
  if (lot.isSealed()) {
    need = needOfSealed(lot, status, now);
  } else {
    std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
    bool failing = status.primaryNeedsSettlement || !status.failedHolders.empty();
    for (StoreRef const& holder : lot.holders)
      failing = failing || isDead(holder.id, now) || isDiskFailing(holder.id) || retiring.contains(holder.name);
    bool const isFinal = status.finalStamp == lot.stamp && lot.holders.size() >= neededCopies();
    if (isFinal)
      need = RecoveryNeed::seal;
    else if (failing)
      need = RecoveryNeed::serve;
    else if (lot.holders.size() < neededCopies())
      need = RecoveryNeed::replicate;
    else if (chooseWithSpare({lot.id, CopyPurpose::recovery}, status.failedHolders, lot.holders, now).size() >
             lot.holders.size())
      need = RecoveryNeed::spare;
  }
  if (need == RecoveryNeed::none || now - status.lastRecoveryAt < retryPause(status, need)) return RecoveryNeed::none;
  return need;
}

RecoveryNeed LotCoordinator::needOfSealed(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  std::size_t lasting = 0;
  for (StoreRef const& holder : lot.holders) {
    bool const goes = isDead(holder.id, now) || isDiskFailing(holder.id) || retiring.contains(holder.name) ||
                      status.failedHolders.contains(holder.id);
    if (!goes) ++lasting;
  }
  if (lasting < neededCopies()) return RecoveryNeed::replicate;
  if (!status.failedHolders.empty()) return RecoveryNeed::replicate;
  bool const room = hasRoomForSpares(now);
  if (lasting > neededCopies()) return room ? RecoveryNeed::none : RecoveryNeed::trim;
  vector<StoreRef> const wished = chooseWithSpare({lot.id, CopyPurpose::recovery}, {}, lot.holders, now);
  return room && wished.size() > lot.holders.size() ? RecoveryNeed::spare : RecoveryNeed::none;
}

/// Starts recoveries, the most urgent needs and old lots first.
void LotCoordinator::startRecoveries(vector<PendingRecovery> pending) {
  std::sort(pending.begin(), pending.end(), [](PendingRecovery const& left, PendingRecovery const& right) {
    return std::pair(left.need, left.lot.sentAtMs) < std::pair(right.need, right.lot.sentAtMs);
  });
  for (PendingRecovery const& next : pending) {
    if (recoveries_ >= maxRecoveries) break;
    LotStatus& status = lots_[next.lot.key()];
    if (status.recovering) continue;
    status.recovering = true;
    status.recoveryStartedAt = Clock::now();
    ++recoveries_;
    spawnTask(io_, "lot recovery", recover(next.lot.key(), next.need));
  }
}

Task<void> LotCoordinator::recover(LotKey key, RecoveryNeed need) {
  RecoveryOutcome outcome = RecoveryOutcome::notOwner;
  try {
    AsyncMutex::Lock const held = co_await lock(key);
    Epoch const epoch = driver_.consensus().epochOf(keyspaceOf(key.host));
    std::optional<LotRecord> const lot = load(key);
    if (lot && driver_.consensus().owns(keyspaceOf(key.host))) outcome = co_await recoverAs(need, *lot, epoch);
  } catch (std::exception const& error) {
    logDebug("lots", "recovery of " + key.id + ": " + error.what());
    outcome = RecoveryOutcome::busy;
  }
  noteOutcome(key, need, outcome);
  --recoveries_;
}

Task<RecoveryOutcome> LotCoordinator::recoverAs(RecoveryNeed need, LotRecord lot, Epoch epoch) {
  if (lot.isSealed()) return replicateSealed(std::move(lot), epoch);
  return need == RecoveryNeed::seal ? seal(std::move(lot), epoch) : recoverOpen(std::move(lot), epoch);
}

void LotCoordinator::noteOutcome(LotKey const& key, RecoveryNeed need, RecoveryOutcome outcome) {
  TimePoint const now = Clock::now();
  LotStatus& status = lots_[key];
  status.recovering = false;
  status.lastRecoveryAt = now;
  metrics()
      .counter("tealshelf_lot_recoveries_total", "Tries to recover, seal or replicate a lot.",
               {{"need", string(nameOf(need))}, {"outcome", string(nameOf(outcome))}})
      .increment();
  bool const changed = outcome != std::exchange(status.lastOutcome, outcome);
  if (outcome == RecoveryOutcome::done) {
    status.failedRecoveries = 0;
    return;
  }
  if (++status.failedRecoveries == 1) status.failingSince = now;
  if (!changed) return;
  std::int64_t const waitsMs = std::chrono::duration_cast<Ms>(now - status.failingSince).count();
  logWarning("lots", key.id + " waits (" + string(nameOf(need)) + "): " + string(nameOf(outcome)) + "; tries " +
                         std::to_string(status.failedRecoveries) + ", for " + std::to_string(waitsMs) + " ms");
}

}  // namespace tealshelf
