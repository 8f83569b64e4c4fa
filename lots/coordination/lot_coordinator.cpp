// Requests of edge nodes, and the records of lots.
#include "lots/coordination/lot_coordinator.hpp"

#include "consensus/forward_to_owner.hpp"

namespace tealshelf {

namespace {
/// Limit of requests that wait for the lock of one lot: its client's and retries by nodes.
constexpr std::size_t maxWaitingCalls = 16;
string const keyspacePrefix = "lots/";

/// Queued tokens are limited for each tenant of a route; both lots are of one host. A record of an older release
/// doesn't tell the prefix of its route, so it counts towards each route of its host: else the limit could be exceeded.
bool sharesQuota(LotRecord const& left, LotRecord const& right) {
  bool const isOlder = left.routePrefix.empty() || right.routePrefix.empty();
  return left.tenant == right.tenant && (isOlder || left.routePrefix == right.routePrefix);
}
}  // namespace

LotCoordinator::LotCoordinator(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver)
    : io_(io), settings_(settings), rpc_(rpc), driver_(driver) {}

void LotCoordinator::start(RpcServer& server) {
  server.on<OpenLot>([this](OpenLot request) { return open(std::move(request)); });
  server.on<AcceptLot>([this](AcceptLot request) { return accept(std::move(request)); });
  server.on<FindLot>([this](FindLot request) { return find(std::move(request)); });
  server.on<EndLot>([this](EndLot request) { return end(std::move(request)); });
  server.on<StoreHeartbeat>([this](StoreHeartbeat heartbeat) { return receiveHeartbeat(std::move(heartbeat)); });
  server.on<FenceStore>([this](FenceStore request) { return fence(std::move(request)); });
  server.on<CountRelyingLots>([this](CountRelyingLots request) -> Task<CountRelyingLotsReply> {
    bool const mayHave = co_await mayHaveLots(request.host);
    if (!mayHave) co_return CountRelyingLotsReply{};
    std::optional<CountRelyingLotsReply> const forwarded = co_await forward(request.host, request);
    if (forwarded) co_return *forwarded;
    std::uint64_t const lots = co_await countRelyingInKeyspace(request.host, request.store);
    co_return CountRelyingLotsReply{lots};
  });
  spawnTask(io_, "lot upkeep", upkeepLoop());
}

string LotCoordinator::keyspaceOf(string const& host) {
  return keyspacePrefix + host;
}

vector<string> LotCoordinator::ownedKeyspaces() const {
  vector<string> owned;
  for (string const& keyspace : driver_.consensus().keyspaces())
    if (keyspace.starts_with(keyspacePrefix) && driver_.consensus().owns(keyspace)) owned.push_back(keyspace);
  return owned;
}

Task<bool> LotCoordinator::mayHaveLots(string host) {
  return driver_.findKeyspace(keyspaceOf(host));
}

template <class Request>
Task<std::optional<typename Request::Reply>> LotCoordinator::forward(string const& host, Request request) {
  Ms const half = settings_.bounds.inTouch / 2;
  return forwardToOwner(driver_, rpc_, settings_.ip, keyspaceOf(host), std::move(request),
                        ForwardLimits{half, half, 2 * half});
}

Task<void> LotCoordinator::confirmOwnership(string host) {
  bool const confirmed = co_await driver_.confirmOwnership(keyspaceOf(host), settings_.bounds.inTouch / 3);
  if (!confirmed) throw Error(ErrorCode::noQuorum);
}

std::optional<LotRecord> LotCoordinator::load(LotKey const& key) const {
  Values const& records = driver_.consensus().committedValues(keyspaceOf(key.host));
  auto const record = records.find(key.id);
  if (record == records.end()) return std::nullopt;
  return deserialize<LotRecord>(record->second);
}

bool LotCoordinator::hasRecord(LotKey const& key) const {
  return driver_.consensus().committedValues(keyspaceOf(key.host)).contains(key.id);
}

/// Checks the invariants between the last committed record of a lot and its successor.
void LotCoordinator::checkRecordChange(LotRecord const& next) const {
  std::set<NodeId> holders;
  for (StoreRef const& holder : next.holders) holders.insert(holder.id);
  bool const areDistinct = !holders.empty() && holders.size() == next.holders.size();
  checkInvariant(Invariant::recordNamesHolders, areDistinct, [&] { return next.id; });
  std::optional<LotRecord> const last = load(next.key());
  if (!last) return;
  checkInvariant(Invariant::recordStampRises, next.stamp >= last->stamp, [&] { return next.id; });
  checkInvariant(Invariant::acceptedRecordStays, next.state >= last->state, [&] { return next.id; });
  bool const staysSealed =
      !last->isSealed() || (next.sealedStamp == last->sealedStamp && next.sealedResults == last->sealedResults);
  checkInvariant(Invariant::sealedRecordStays, staysSealed, [&] { return next.id; });
}

Task<bool> LotCoordinator::save(LotRecord lot, Epoch under) {
  checkRecordChange(lot);
  vector<KeyChange> changes(1, KeyChange{lot.id, serialize(lot), false});
  // An unknown result counts as not committed: callers then answer with a status that leaves the outcome open.
  OperationResult const result = co_await driver_.propose(keyspaceOf(lot.host), std::move(changes), under);
  if (result != OperationResult::committed) co_return false;
  lots_[lot.key()].revision = ++revision_;
  co_return true;
}

Task<AsyncMutex::Lock> LotCoordinator::lock(LotKey key) {
  LotStatus& status = lots_[key];
  if (!status.mutex) status.mutex.emplace(io_, maxWaitingCalls);
  return status.mutex->lock(settings_.bounds.inTouch / 2);
}

/// The owner's epoch is the upper half of a stamp, so stamps rise across ownership changes without being persisted.
GenerationStamp LotCoordinator::freshStamp(string const& host) {
  std::uint64_t const epoch = driver_.consensus().epochOf(keyspaceOf(host)).number;
  GenerationStamp const stamp((epoch << 32) | (++stampCounter_ & 0xffffffffu));
  GenerationStamp& last = lastStamps_[host];
  checkInvariant(Invariant::freshStampIsNew, stamp > last, [&] { return host + " " + hex(stamp.value); });
  last = stamp;
  return stamp;
}

bool LotCoordinator::mayBeAccepted(LotKey const& key, Ms within) const {
  auto const status = lots_.find(key);
  return status != lots_.end() && Clock::now() - status->second.openedAt < within;
}

bool LotCoordinator::countsTowardsQuota(LotRecord const& lot, LotRecord const& incoming) const {
  bool const finished = lot.state == LotState::ended || lot.isSealed();
  if (lot.id == incoming.id || !sharesQuota(lot, incoming) || finished) return false;
  // A lot that isn't accepted yet counts until it can no longer be accepted.
  if (lot.state == LotState::opening && !mayBeAccepted(lot.key(), settings_.bounds.inTouch)) return false;
  return !opening_.contains(lot.key());
}

void LotCoordinator::checkRate(LotRecord const& lot) {
  if (lot.tenant.empty() || !findTenant) return;
  std::optional<Tenant> const tenant = findTenant(lot.tenant);
  if (tenant && !rates_.take(*tenant, Clock::now())) throw Error(ErrorCode::rateExceeded, lot.tenant);
}

void LotCoordinator::checkQuota(LotRecord const& lot, std::uint64_t maxQueuedTokens) const {
  if (!maxQueuedTokens) return;
  std::uint64_t queuedTokens = 0;
  for (auto const& [id, record] : driver_.consensus().committedValues(keyspaceOf(lot.host))) {
    LotRecord const other = deserialize<LotRecord>(record);
    if (!countsTowardsQuota(other, lot)) continue;
    auto const status = lots_.find(other.key());
    std::uint64_t const finished = status == lots_.end() ? 0 : status->second.finishedTokens;
    queuedTokens += other.tokens > finished ? other.tokens - finished : 0;
  }
  for (auto const& [key, other] : opening_)
    if (key.host == lot.host && key != lot.key() && sharesQuota(other.lot, lot)) queuedTokens += other.lot.tokens;
  if (queuedTokens + lot.tokens > maxQueuedTokens) throw Error(ErrorCode::lotOverQuota, std::to_string(queuedTokens));
}

Task<OpenLotReply> LotCoordinator::open(OpenLot request) {
  // The edge node found the lot's route in its configuration, which may be newer than the one known here.
  driver_.consensus().useKeyspace(keyspaceOf(request.lot.host), Clock::now());
  std::optional<OpenLotReply> const forwarded = co_await forward(request.lot.host, request);
  if (forwarded) co_return *forwarded;
  LotKey const key = request.lot.key();
  AsyncMutex::Lock const held = co_await lock(key);
  Epoch const epoch = driver_.consensus().epochOf(keyspaceOf(key.host));
  std::optional<LotRecord> const known = load(key);
  if (known && known->state != LotState::opening) {
    co_await confirmOwnership(key.host);
    co_return OpenLotReply{true, *known};
  }
  LotRecord lot = request.lot;
  lot.submittedAtMs = known ? known->submittedAtMs : wallClockMs();
  std::set<NodeId> const excluded(request.excluded.begin(), request.excluded.end());
  std::optional<Error> refusal;
  try {
    // A further attempt at a lot that is being opened was counted before.
    if (!known) checkRate(lot);
    checkQuota(lot, request.maxQueuedTokens);
    lot.holders = chooseForNewLot(lot, excluded, static_cast<double>(request.itemBytes));
  } catch (Error const& error) {
    refusal = error;
  }
  if (refusal) co_return co_await refuse(key, *refusal);
  lot.state = LotState::opening;
  lot.stamp = freshStamp(lot.host);
  lots_[key].openedAt = Clock::now();
  opening_[key] = OpeningLot{lot, Clock::now()};
  bool const saved = co_await save(lot, epoch);
  opening_.erase(key);
  if (!saved) throw Error(ErrorCode::noQuorum);
  co_return OpenLotReply{false, lot};
}

vector<StoreRef> LotCoordinator::chooseForNewLot(LotRecord const& lot, std::set<NodeId> const& excluded,
                                                 double itemBytes) {
  TimePoint const now = Clock::now();
  double const bytes = itemBytes + expectedResultBytes(lot);
  if (!admits(fleetLoad(now), bytes)) {
    refusedForRoom_.increment();
    throw Error(ErrorCode::storesFull);
  }
  vector<StoreRef> holders = chooseWithSpare({lot.id, CopyPurpose::admission, bytes, {}}, excluded, {}, now);
  if (holders.size() < neededCopies()) throw Error(ErrorCode::noStores);
  // The holders' loads include the lot before their next heartbeats report it.
  for (StoreRef const& holder : holders) stores_.at(holder.id).load.expectedGrowth += static_cast<std::uint64_t>(bytes);
  return holders;
}

/// A refusal promises that the lot doesn't run. A node that lost its ownership can't promise this, as the new owner may
/// have accepted an earlier attempt; nor can this node while an earlier attempt may still be accepted here.
Task<OpenLotReply> LotCoordinator::refuse(LotKey key, Error refusal) {
  co_await confirmOwnership(key.host);
  std::optional<LotRecord> const known = load(key);
  if (known && known->state != LotState::opening) co_return OpenLotReply{true, *known};
  if (known && mayBeAccepted(key, settings_.bounds.inTouch)) throw Error(ErrorCode::noQuorum, refusal.what());
  throw refusal;
}

Task<Acknowledgement> LotCoordinator::accept(AcceptLot request) {
  bool const mayHave = co_await mayHaveLots(request.host);
  if (!mayHave) throw Error(ErrorCode::lotUnknown);
  std::optional<Acknowledgement> const forwarded = co_await forward(request.host, request);
  if (forwarded) co_return *forwarded;
  LotKey const key = request.key();
  if (!hasRecord(key)) throw Error(ErrorCode::lotUnknown);
  AsyncMutex::Lock const held = co_await lock(key);
  Epoch const epoch = driver_.consensus().epochOf(keyspaceOf(key.host));
  std::optional<LotRecord> lot = load(key);
  if (!lot) throw Error(ErrorCode::lotUnknown);
  if (lot->state != LotState::opening) co_return Acknowledgement{};
  if (lot->stamp != request.stamp || !mayBeAccepted(key, settings_.bounds.inTouch / 2))
    throw Error(ErrorCode::staleStamp);
  lot->state = LotState::accepted;
  bool const saved = co_await save(*lot, epoch);
  if (!saved) throw Error(ErrorCode::noQuorum);
  co_return Acknowledgement{};
}

Task<FindLotReply> LotCoordinator::find(FindLot request) {
  bool const mayHave = co_await mayHaveLots(request.host);
  if (!mayHave) co_return FindLotReply{};
  std::optional<FindLotReply> const forwarded = co_await forward(request.host, request);
  if (forwarded) co_return *forwarded;
  co_await confirmOwnership(request.host);
  std::optional<LotRecord> const lot = load(request.key());
  if (!lot || lot->state == LotState::opening) co_return FindLotReply{false, {}};
  co_return FindLotReply{true, *lot};
}

Task<FindLotReply> LotCoordinator::end(EndLot request) {
  bool const mayHave = co_await mayHaveLots(request.host);
  if (!mayHave) co_return FindLotReply{};
  std::optional<FindLotReply> const forwarded = co_await forward(request.host, request);
  if (forwarded) co_return *forwarded;
  LotKey const key = request.key();
  // The lock of a lot is part of its state here, which a lot that doesn't exist must not get.
  if (!hasRecord(key)) co_await confirmOwnership(key.host);
  if (!hasRecord(key)) co_return FindLotReply{};
  AsyncMutex::Lock const held = co_await lock(key);
  // The records of a node that lost its ownership may be outdated, so ownership is confirmed before the record is read.
  co_await confirmOwnership(key.host);
  Epoch const epoch = driver_.consensus().epochOf(keyspaceOf(key.host));
  std::optional<LotRecord> lot = load(key);
  if (!lot || lot->state == LotState::opening) co_return FindLotReply{false, {}};
  lot->state = LotState::ended;
  bool const saved = co_await save(*lot, epoch);
  if (!saved) throw Error(ErrorCode::noQuorum);
  if (!lot->holders.empty()) rpc_.sendRaw(lot->holders[0].address, RpcMethod::startLot, serialize(*lot));
  co_return FindLotReply{true, *lot};
}

}  // namespace tealshelf
