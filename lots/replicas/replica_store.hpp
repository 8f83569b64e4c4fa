#pragma once
#include "base/durable_log.hpp"
#include "lots/messages.hpp"
#include "segments/replica_table.hpp"

namespace tealshelf {

/// The replicas of one store on its disk, and the calls of coordinators and other stores about them.
///
/// Runs on the io thread; the log has a thread of its own. Settings and client must outlive it.
class ReplicaStore {
 public:
  ReplicaStore(asio::io_context& io, Settings const& settings, RpcClient& rpc);
  void start(RpcServer& server);

  NodeId id() const { return id_; }
  ReplicaTable& table() { return table_; }
  ReplicaTable const& table() const { return table_; }
  bool diskHealthy() const { return log_.healthy(); }
  /// How full this store is.
  StoreLoad load() const;
  /// Queues the table's records for the disk.
  void persist();
  /// Writes what is queued, without waiting.
  void flush() { log_.flush(); }
  /// Queues the table's records and waits until they are synced; throws ErrorCode::diskUnavailable.
  Task<void> persistAndSync();
  /// Called when a recovery inspects or settles a replica: its writer must wait for the new record.
  std::function<void(LotKey const&)> onRecovery;

 private:
  /// Copies of a new replica on their way to the other holders.
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
  /// Throws diskUnavailable while the disk takes nothing.
  void requireDisk() const;
  /// Throws diskUnavailable while the disk takes nothing, and storeFull if a replica of a lot that isn't here yet would
  /// not fit.
  void requireRoom(LotRecord const& lot, std::size_t bytes) const;
  /// Bytes of replicas that this store takes at the most: its state must fit its disk and its memory.
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
