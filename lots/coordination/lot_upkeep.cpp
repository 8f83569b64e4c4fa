// Periodic maintenance of lots: deletes expired records and starts recoveries by urgency.
#include "base/invariant.hpp"
#include "lots/coordination/lot_coordinator.hpp"

namespace tealshelf {

namespace {
/// Limit of concurrent recoveries.
constexpr std::size_t maxRecoveries = 12;
/// Limit of doublings of the delay before a failed recovery is retried.
constexpr std::size_t maxPauseDoublings = 4;
/// Limit of lots in a report of waiting lots.
constexpr std::size_t maxReportedLots = 200;
/// The in-memory state of lots without a record is dropped after each of these parts of inTouch.
constexpr int forgettingDivisor = 4;
}  // namespace

Task<void> LotCoordinator::upkeepLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / 30);
    updateRoomForSpares(Clock::now());
    recoveryMetrics_.beginCount();
    CopyCount copies;
    vector<string> const keyspaces = ownedKeyspaces();
    for (string const& keyspace : keyspaces)
      if (driver_.consensus().owns(keyspace)) co_await maintainKeyspace(keyspace, copies);
    recoveryMetrics_.endCount();
    forgetLotsWithoutRecord(Clock::now());
    // The spare copies of lots that other nodes own aren't known here, so none are assumed.
    bool const ownsAll = keyspaces.size() == countLotKeyspaces();
    neededCopyShare_ =
        copies.named && ownsAll ? static_cast<double>(copies.needed) / static_cast<double>(copies.named) : 1;
  }
}

Task<void> LotCoordinator::maintainKeyspace(string keyspace, CopyCount& copies) {
  TimePoint const now = Clock::now();
  vector<KeyChange> deletions;
  vector<PendingRecovery> pending;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspace)) {
    LotRecord lot = deserialize<LotRecord>(record);
    LotStatus& status = lots_[lot.key()];
    ages_.learn(lot.key(), now);
    copies.named += lot.holders.size();
    // Only sealed lots give up their spare copies when space is short.
    copies.needed += lot.isSealed() ? std::min(lot.holders.size(), neededCopies()) : lot.holders.size();
    if (isDeletable(lot, status, now)) {
      bool const unfinished =
          lot.state == LotState::accepted && !lot.isSealed() && status.listedResults < lot.itemCount;
      checkInvariant(Invariant::acceptedRecordIsKept, !unfinished, [&] { return lot.id; });
      deletions.push_back(KeyChange{id, "", true});
      continue;
    }
    RecoveryNeed const need = recoveryNeedOf(lot, status, now);
    if (need != std::exchange(status.need, need)) status.needSince = now;
    recoveryMetrics_.count(need, std::chrono::duration_cast<Ms>(now - status.needSince));
    bool const mayTry = !status.recovering && now - status.lastRecoveryAt >= retryPause(status, need);
    if (need != RecoveryNeed::none && mayTry) pending.push_back({std::move(lot), need});
  }
  startRecoveries(std::move(pending));
  if (deletions.empty()) co_return;
  co_await driver_.propose(keyspace, deletions);
}

bool LotCoordinator::isChanging(LotStatus const& status) {
  return status.recovering || (status.mutex && status.mutex->locked());
}

void LotCoordinator::forgetLotsWithoutRecord(TimePoint now) {
  if (now - lastForgottenAt_ < settings_.bounds.inTouch / forgettingDivisor) return;
  lastForgottenAt_ = now;
  std::erase_if(lots_, [this, now](auto const& item) {
    auto const& [key, status] = item;
    bool const mayBeOpened = now - status.openedAt <= settings_.bounds.inTouch;
    if (mayBeOpened || isChanging(status) || hasRecord(key)) return false;
    ages_.forget(key);
    return true;
  });
}

std::size_t LotCoordinator::countLotKeyspaces() const {
  vector<string> const keyspaces = driver_.consensus().keyspaces();
  return static_cast<std::size_t>(std::count_if(keyspaces.begin(), keyspaces.end(), isLotKeyspace));
}

bool LotCoordinator::isDeletable(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  if (isChanging(status)) return false;
  Ms const age = ages_.atLeast(lot.key(), now);
  if (lot.state == LotState::opening)
    return age > 4 * settings_.bounds.confirmWithin && !mayBeAccepted(lot.key(), settings_.bounds.inTouch);
  bool const complete = lot.state == LotState::ended || lot.isSealed() || status.listedResults >= lot.itemCount;
  return complete && age > 2 * settings_.bounds.statusEvery + Ms(lot.keepForMs);
}

Ms LotCoordinator::retryPause(LotStatus const& status, RecoveryNeed need) const {
  bool const urgent = need == RecoveryNeed::serve || need == RecoveryNeed::seal;
  Ms const first = settings_.bounds.inTouch / (urgent ? 10 : 3);
  // Urgent needs are retried at a constant rate: each attempt may reach a store that was unreachable before.
  std::size_t const doublings = urgent ? 0 : std::min(status.failedRecoveries, maxPauseDoublings);
  return first * (1 << doublings);
}

bool LotCoordinator::isLost(StoreRef const& holder, TimePoint now) const {
  return isDiskReplaced(holder) || isDead(holder.id, now) || isDiskFailing(holder.id);
}

RecoveryNeed LotCoordinator::recoveryNeedOf(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  if (lot.state == LotState::opening) return RecoveryNeed::none;
  if (lot.isSealed()) return recoveryNeedOfSealed(lot, status, now);
  bool const isFinal = status.finalStamp == lot.stamp && lot.holders.size() >= neededCopies();
  if (isFinal) return RecoveryNeed::seal;
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  bool failing = status.reports.requireRecovery(lot.stamp);
  for (StoreRef const& holder : lot.holders) failing = failing || isLost(holder, now) || retiring.contains(holder.name);
  if (failing) return RecoveryNeed::serve;
  if (lot.holders.size() < neededCopies()) return RecoveryNeed::replicate;
  if (!roomForSpares_) return RecoveryNeed::none;
  vector<StoreRef> const withSpare = chooseWithSpare({lot.id, CopyPurpose::recovery, 0, {}}, {}, lot.holders, now);
  return withSpare.size() > lot.holders.size() ? RecoveryNeed::spare : RecoveryNeed::none;
}

RecoveryNeed LotCoordinator::recoveryNeedOfSealed(LotRecord const& lot, LotStatus const& status, TimePoint now) const {
  std::set<string> const retiring = retiringStores ? retiringStores() : std::set<string>();
  std::set<NodeId> const failed = status.reports.failedUnder(lot.stamp);
  std::size_t remaining = 0;
  bool isRetiring = false;
  for (StoreRef const& holder : lot.holders) {
    bool const retiresHolder = retiring.contains(holder.name);
    bool const leaves = isLost(holder, now) || retiresHolder || failed.contains(holder.id);
    if (!leaves) ++remaining;
    isRetiring = isRetiring || retiresHolder;
  }
  // No record may name a retiring store, even if enough other copies exist.
  if (remaining < neededCopies() || isRetiring) return RecoveryNeed::replicate;
  if (!failed.empty()) return RecoveryNeed::replicate;
  if (remaining > neededCopies()) return mustTrimSpares_ ? RecoveryNeed::trim : RecoveryNeed::none;
  if (!roomForSpares_) return RecoveryNeed::none;
  vector<StoreRef> const withSpare = chooseWithSpare({lot.id, CopyPurpose::recovery, 0, {}}, {}, lot.holders, now);
  return withSpare.size() > lot.holders.size() ? RecoveryNeed::spare : RecoveryNeed::none;
}

/// Starts the most urgent recoveries first. Within a need, those with fewer failures come first, so that lots that
/// can't be recovered now don't delay the others; then older lots.
void LotCoordinator::startRecoveries(vector<PendingRecovery> pending) {
  auto const order = [this](PendingRecovery const& next) {
    return std::tuple(next.need, lots_[next.lot.key()].failedRecoveries, next.lot.submittedAtMs);
  };
  std::sort(pending.begin(), pending.end(),
            [&order](PendingRecovery const& left, PendingRecovery const& right) { return order(left) < order(right); });
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
    logDebug("lots", "recovery of lot " + key.id + " failed: " + error.what());
    outcome = RecoveryOutcome::busy;
  }
  recordOutcome(key, need, outcome);
  --recoveries_;
}

Task<RecoveryOutcome> LotCoordinator::recoverAs(RecoveryNeed need, LotRecord lot, Epoch epoch) {
  if (lot.isSealed()) return replicateSealed(std::move(lot), epoch);
  return need == RecoveryNeed::seal ? seal(std::move(lot), epoch) : recoverUnsealed(std::move(lot), epoch);
}

void LotCoordinator::recordOutcome(LotKey const& key, RecoveryNeed need, RecoveryOutcome outcome) {
  TimePoint const now = Clock::now();
  LotStatus& status = lots_[key];
  status.recovering = false;
  status.lastRecoveryAt = now;
  recoveryMetrics_.recordOutcome(need, outcome);
  bool const changed = outcome != std::exchange(status.lastOutcome, outcome);
  if (outcome == RecoveryOutcome::done) {
    status.failedRecoveries = 0;
    return;
  }
  if (++status.failedRecoveries == 1) status.failingSince = now;
  // An unchanged reason is logged again from time to time, at a rate limited for each lot and for all lots together.
  bool const repeats = now - status.lastWarnedAt >= settings_.bounds.inTouch &&
                       now - lastRepeatedWarningAt_ >= settings_.bounds.inTouch / 8;
  if (!changed && !repeats) return;
  if (!changed) lastRepeatedWarningAt_ = now;
  status.lastWarnedAt = now;
  std::int64_t const waitedMs = std::chrono::duration_cast<Ms>(now - status.failingSince).count();
  logWarning("lots", "lot " + key.id + " waits for recovery (need: " + string(nameOf(need)) +
                         "): " + string(nameOf(outcome)) + "; " + std::to_string(status.failedRecoveries) +
                         " failed attempts, the first " + std::to_string(waitedMs) + " ms ago; " +
                         status.lastRecoverySummary);
}

string LotCoordinator::waitingLotsJson() const {
  TimePoint const now = Clock::now();
  vector<WaitingLot> waiting;
  for (auto const& [key, status] : lots_) {
    bool const waits = status.need != RecoveryNeed::none && status.failedRecoveries != 0;
    if (!waits || !driver_.consensus().owns(keyspaceOf(key.host))) continue;
    waiting.push_back({key.id, key.host, status.need, status.lastOutcome, status.failedRecoveries,
                       std::chrono::duration_cast<Ms>(now - status.failingSince), status.lastRecoverySummary});
  }
  return waitingLotsReport(settings_.nodeName, std::move(waiting), maxReportedLots);
}

}  // namespace tealshelf
