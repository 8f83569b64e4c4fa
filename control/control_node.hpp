#pragma once
#include "base/async_mutex.hpp"
#include "configuration/change_decision.hpp"
#include "configuration/configuration.hpp"
#include "control/messages.hpp"
#include "lots/lot_coordinator.hpp"
#include "updates/publisher.hpp"
#include "wire/http.hpp"
#include "workers/worker_health.hpp"
#include "workers/worker_registry.hpp"

namespace tealshelf {

/// The control plane of one machine: consensus, register of workers, configuration, lots and updated.
class ControlNode {
 public:
  ControlNode(asio::io_context& io, Settings const& settings);
  void start();
  /// Hands everything over and ends inside the grace.
  void stop();

 private:
  Task<HttpReply> handle(HttpCall c);
  Task<CallReply> route(ForwardCall q);
  string retryAfter() const;
  /// Time in which a call is answered; its caller turns to another node soon after.
  std::int64_t callBudgetMs() const { return (settings_.bounds.confirmWithin / 5).count(); }
  Task<CallReply> servers(ForwardCall q);
  Task<CallReply> configurationCall(ForwardCall q);
  Task<CallReply> putConfiguration(ForwardCall q);
  /// The first configuration waits a while for a membership that bears the losses it should.
  Task<void> awaitFirstMembership(TimePoint end);
  /// Makes sure that this node owns a keyspace; throws Code::noQuorum otherwise.
  Task<Epoch> confirmOwner(string keyspace, TimePoint end);
  /// Has the configuration that an order brings on a majority; throws Code::orderOpen if that isn't known.
  Task<void> commit(ChangeDecision decision, Epoch epoch);
  Task<CallReply> retire(ForwardCall q);
  Task<std::optional<CallReply>> elsewhere(string const& keyspace, ForwardCall q);
  Task<void> sweepLoop();
  /// Brings the updated table up to the register and the membership, and tells those who ask.
  void changed();
  /// Brings the lists of the zones' nodes up to who asks here and at the other control nodes.
  void listNodes();
  bool onHeartbeat(HeartbeatMessage const& m);
  void fillHeartbeat(HeartbeatMessage& m, bool full);
  /// Has workers rest that fail more than their like.
  void judge();
  /// Where the next beats of a worker should go: a control node of its zone if there is one.
  std::optional<Address> registrarOf(Worker const& w) const;
  /// Notes changed rows of the register on the disk, without waiting.
  void note();
  bool tableWhole() const;

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient rpc_;
  ConsensusDriver driver_;
  LotCoordinator coordinator_;
  WorkerRegistry table_;
  RpcServer server_;
  HttpServer http_;
  TimePoint started_ = Clock::now();
  std::unique_ptr<DurableLog> log_;
  std::set<NodeId> tables_;  ///< nodes whose whole register was taken in
  bool stopping_ = false;
  AsyncMutex orders_;  ///< one order is judged and written at a time
  UndecidedChange unsettled_;
  struct Part {
    std::uint64_t digest = 0;
    vector<NodeRow> nodes;
    TimePoint at;
  };
  UpdatePublisher publisher_;
  WorkerHealth health_;
  std::map<NodeId, Part> parts_;  ///< which nodes ask at which other control node
  std::uint64_t publishedRevision_ = 0, noted_ = 0, nodesDigest_ = 0;
  MembershipNumber membershipNumber_;
  int nodesTurns_ = 0;
  bool wasHealthy_ = false;
};

}  // namespace tealshelf
