#include "lots/replicas/replica_store.hpp"

#include "base/node_id.hpp"
#include "lots/coordination/store_placement.hpp"

namespace tealshelf {

namespace {
/// Share of the disk budget for the log of replicas.
constexpr double logShare = 0.9;
/// Share of the process's memory for replicas, which are in memory twice while a snapshot is written.
constexpr double replicaMemoryShare = 0.3;
}  // namespace

ReplicaStore::ReplicaStore(asio::io_context& io, Settings const& settings, RpcClient& rpc)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      id_(waitForNodeId(settings.dataFolder, settings.bounds.inTouch / 3)),
      log_(io, settings.dataFolder + "/segments", diskLimits(settings, logShare),
           [this] { return table_.snapshot(); }) {
  RecoveredLog const& recovered = log_.recovered();
  for (string const& record : recovered.records) table_.replay(record);
  if (recovered.tornBytes)
    logWarning("segments", "the replica log ended in an incomplete record; cut its last " +
                               std::to_string(recovered.tornBytes) + " bytes");
  for (string const& place : recovered.corruptions)
    logWarning("segments",
               "the replica log is corrupt and lost synced records; all replicas count as damaged: " + place);
  if (!recovered.corruptions.empty()) table_.markAllDamaged();
  log_.releaseRecovered();
}

void ReplicaStore::start(RpcServer& server) {
  server.on<CreateReplica>([this](CreateReplica request) { return create(std::move(request)); });
  server.on<AppendResults>([this](AppendResults request) { return append(std::move(request)); });
  server.on<InspectReplica>([this](InspectReplica request) { return inspect(std::move(request)); });
  server.on<SettleReplica>([this](SettleReplica request) { return settle(std::move(request)); });
  server.on<CopyReplica>([this](CopyReplica request) { return copy(std::move(request)); });
  server.on<FetchReplica>([this](FetchReplica request) { return fetch(std::move(request)); });
  server.on<ConfirmReplicas>([this](ConfirmReplicas request) { return confirm(std::move(request)); });
}

void ReplicaStore::persist() {
  for (string const& record : table_.takeRecords()) log_.append(record);
}

Task<void> ReplicaStore::persistAndSync() {
  persist();
  co_await log_.waitSynced();
}

void ReplicaStore::requireDisk() const {
  if (!log_.healthy()) throw Error(ErrorCode::diskUnavailable, std::strerror(log_.lastError()));
}

std::size_t ReplicaStore::maxReplicaBytes() const {
  double const memory = static_cast<double>(settings_.memoryMb << 20) * replicaMemoryShare;
  return std::min(log_.limits().maxStateSize(), static_cast<std::size_t>(memory));
}

void ReplicaStore::requireRoom(LotRecord const& lot, std::size_t bytes) const {
  requireDisk();
  if (table_.find(lot.key())) return;
  if (table_.bytes() + bytes <= maxReplicaBytes()) return;
  throw Error(ErrorCode::storeFull,
              std::to_string(table_.bytes() >> 20) + " of " + std::to_string(maxReplicaBytes() >> 20) + " MB are used");
}

StoreLoad ReplicaStore::load() const {
  double expectedGrowth = 0;
  table_.forEach([&expectedGrowth](Replica const& replica) {
    LotRecord const& lot = replica.lot;
    bool const unfinished = !replica.sealed && lot.state != LotState::ended && replica.results.size() < lot.itemCount;
    if (!unfinished) return;
    double const missingResults = static_cast<double>(lot.itemCount - replica.results.size());
    expectedGrowth += missingResults / static_cast<double>(lot.itemCount) * expectedResultBytes(lot);
  });
  return {table_.bytes(), static_cast<std::uint64_t>(expectedGrowth), maxReplicaBytes()};
}

Task<Acknowledgement> ReplicaStore::create(CreateReplica request) {
  requireRoom(request.lot, request.items.size());
  bool const forwardToHolders = std::exchange(request.forwardToHolders, false);
  string const serializedRequest = forwardToHolders ? serialize(request) : "";
  vector<StoreRef> const holders = request.lot.holders;
  table_.create(request.lot, std::move(request.items), std::move(request.results));
  persist();
  std::shared_ptr<PendingCopies> const copies =
      sendCopies(forwardToHolders ? holders : vector<StoreRef>(), serializedRequest);
  co_await log_.waitSynced();
  if (!forwardToHolders) co_return Acknowledgement{};
  co_await awaitCopies(copies);
  if (1 + copies->synced < neededCopies()) throw Error(ErrorCode::noStores);
  co_return Acknowledgement{};
}

std::shared_ptr<ReplicaStore::PendingCopies> ReplicaStore::sendCopies(vector<StoreRef> const& holders,
                                                                      string const& request) {
  std::shared_ptr<PendingCopies> const copies = std::make_shared<PendingCopies>(io_);
  for (StoreRef const& holder : holders) {
    if (holder.id == id_) continue;
    ++copies->outstanding;
    asio::co_spawn(io_, rpc_.callRaw(holder.address, RpcMethod::createReplica, request, settings_.bounds.inTouch / 3),
                   [copies, needed = neededCopies()](std::exception_ptr failure, string) {
                     --copies->outstanding;
                     if (!failure) ++copies->synced;
                     if (!copies->outstanding || 1 + copies->synced >= needed) copies->timer.cancel();
                   });
  }
  return copies;
}

/// Waits until enough holders have synced the replica, then briefly for the remaining ones. If one of these fails, the
/// lot is recovered without it.
Task<void> ReplicaStore::awaitCopies(std::shared_ptr<PendingCopies> copies) {
  error_code ignored;
  if (copies->outstanding && 1 + copies->synced < neededCopies())
    co_await copies->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (!copies->outstanding) co_return;
  copies->timer.expires_after(settings_.bounds.step / 6);
  co_await copies->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Task<AppendResultsReply> ReplicaStore::append(AppendResults request) {
  AppendResultsReply reply;
  for (AppendResults::Part const& part : request.parts) {
    bool accepted = true;
    try {
      requireDisk();
      table_.append(part.key(), part.stamp, part.from, part.records);
    } catch (Error const& error) {
      logDebug("segments", error.what());
      accepted = false;
    }
    reply.accepted.push_back(accepted);
  }
  co_await persistAndSync();
  co_return reply;
}

Task<InspectReplicaReply> ReplicaStore::inspect(InspectReplica request) {
  requireDisk();
  InspectReplicaReply reply = table_.inspect(request.key());
  reply.self = id_;
  onRecovery(request.key());
  co_await persistAndSync();
  co_return reply;
}

Task<Acknowledgement> ReplicaStore::settle(SettleReplica request) {
  requireDisk();
  table_.settle(request.key(), request.oldStamp, request.newStamp, request.length);
  onRecovery(request.key());
  co_await persistAndSync();
  co_return Acknowledgement{};
}

Task<Acknowledgement> ReplicaStore::copy(CopyReplica request) {
  requireRoom(request.lot, 0);
  FetchReplica const fetch{request.lot.host, request.lot.id, request.minSourceStamp, true};
  CreateReplica replica = co_await rpc_.call(request.source, fetch, settings_.bounds.inTouch / 3);
  if (replica.results.size() < request.results) throw Error(ErrorCode::staleStamp, request.lot.id);
  replica.results.resize(request.results);
  std::size_t bytes = replica.items.size();
  for (string const& result : replica.results) bytes += result.size();
  requireRoom(request.lot, bytes);
  table_.create(request.lot, std::move(replica.items), std::move(replica.results));
  co_await persistAndSync();
  co_return Acknowledgement{};
}

Task<CreateReplica> ReplicaStore::fetch(FetchReplica request) {
  Replica const& replica = request.allowNewerStamp ? table_.readAtLeast(request.key(), request.stamp, 0)
                                                   : table_.read(request.key(), request.stamp);
  co_return CreateReplica{replica.lot, replica.items, replica.results, false};
}

Task<ConfirmReplicasReply> ReplicaStore::confirm(ConfirmReplicas request) {
  requireDisk();
  co_await persistAndSync();
  ConfirmReplicasReply reply{id_, processId_, {}};
  for (ReplicaVersion const& replica : request.replicas)
    reply.held.push_back(table_.holds(replica.key(), replica.stamp));
  co_return reply;
}

}  // namespace tealshelf
