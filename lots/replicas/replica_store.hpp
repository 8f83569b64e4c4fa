#pragma once
#include "base/durable_log.hpp"
#include "lots/messages.hpp"
#include "segments/replica_table.hpp"

namespace tealshelf {

/// Keeps a store's replicas durable in a log, and serves the calls of coordinators and other stores about them.
///
/// Runs on the io thread; the log has its own thread. The constructor's arguments must outlive it.
class ReplicaStore {
 public:
  ReplicaStore(asio::io_context& io, Settings const& settings, RpcClient& rpc);
  void start(RpcServer& server);

  NodeId id() const { return id_; }
  ReplicaTable& table() { return table_; }
  ReplicaTable const& table() const { return table_; }
  bool diskHealthy() const { return log_.healthy(); }
  /// Bytes used, expected growth and limit of this store's replicas.
  StoreLoad load() const;
  /// Queues the table's new records for the log.
  void persist();
  /// Starts writing the queued records, without waiting.
  void flush() { log_.flush(); }
  /// Queues the table's new records and waits until they are synced; throws ErrorCode::diskUnavailable.
  Task<void> persistAndSync();
  /// Called when a recovery inspects or settles a replica: the local run must stall until it gets the new record.
  std::function<void(LotKey const&)> onRecovery;

 private:
  /// Calls that forward a new replica to the other holders.
  struct PendingCopies {
    explicit PendingCopies(asio::io_context& io) : timer(io, TimePoint::max()) {}
    asio::steady_timer timer;
    std::size_t outstanding = 0, synced = 0;
  };

  Task<Acknowledgement> create(CreateReplica request);
  std::shared_ptr<PendingCopies> sendCopies(vector<StoreRef> const& holders, string const& request);
  Task<void> awaitCopies(std::shared_ptr<PendingCopies> copies);
  Task<AppendResultsReply> append(AppendResults request);
  Task<InspectReplicaReply> inspect(InspectReplica request);
  Task<Acknowledgement> settle(SettleReplica request);
  Task<Acknowledgement> copy(CopyReplica request);
  Task<CreateReplica> fetch(FetchReplica request);
  Task<ConfirmReplicasReply> confirm(ConfirmReplicas request);
  /// Throws diskUnavailable while the disk accepts no writes.
  void requireDisk() const;
  /// Throws diskUnavailable while the disk accepts no writes, and storeFull if a new replica would exceed the limit. A
  /// replica that is present may be replaced in any case.
  void requireRoom(LotRecord const& lot, std::size_t bytes) const;
  /// Limit for the bytes of all replicas, which must fit both the disk and the memory.
  std::size_t maxReplicaBytes() const;
  std::size_t neededCopies() const { return static_cast<std::size_t>(settings_.surviveMachines) + 1; }

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  NodeId id_;
  ReplicaTable table_;
  DurableLog log_;
  std::uint64_t const processId_ = randomId();
};

}  // namespace tealshelf
