#pragma once
#include "base/durable_log.hpp"
#include "consensus/control_messages.hpp"
#include "consensus/membership_manager.hpp"

namespace tealshelf {

/// Runs a Consensus against the disk, the connections and the clock.
///
/// Runs on the io thread; the log has a thread of its own. Settings and client must outlive it.
class ConsensusDriver {
 public:
  ConsensusDriver(asio::io_context& io, Settings const& settings, RpcClient& rpc);
  /// Starts the handlers of the consensus's messages, heartbeats, and founding or joining.
  void start(RpcServer& server);

  /// Writes changes to a majority of the disks, within a bound. After an unknown end this node has given the keyspace
  /// up: nothing is built on its old values, and only the next owner knows what came of the change.
  /// With `under`, nothing is written unless this node still owns the keyspace under that epoch.
  Task<OperationResult> propose(string keyspace, vector<KeyChange> changes, std::optional<Epoch> under = std::nullopt);
  /// True once a majority says that this node still owns the keyspace.
  Task<bool> confirmOwnership(string keyspace, Ms limit);
  /// Waits until everything recorded so far is synced; throws ErrorCode::diskUnavailable once the disk isn't well.
  Task<void> waitSynced();

  Consensus& consensus() { return consensus_; }
  Consensus const& consensus() const { return consensus_; }
  bool inContactWithMajority() const { return consensus_.inContactWithMajority(Clock::now()); }
  /// True if the membership survives the losses that it should.
  bool survivesRequiredLosses() const {
    return MembershipPolicy::survives(consensus_.membership(), settings_.surviveMachines);
  }
  /// Where the preferred owner of a keyspace is; nothing if unknown.
  std::optional<Address> ownerAddress(string const& keyspace) const;
  Ms heartbeatPeriod() const { return heartbeatPeriod_; }

  /// Hands everything over: this node is preferred no more.
  void leave();
  bool isLeaving() const { return leaving_; }
  void sendHeartbeats();
  /// Writes and sends what the consensus has put out.
  void flush();

  /// Called for each heartbeat that comes in, with what it carries.
  std::function<void(HeartbeatMessage const&)> onHeartbeat;
  /// Fills in the workers and nodes that a heartbeat shall carry. `isExtra`: it goes to one node beside the periodic
  /// ones, and nothing that it carries counts as told to the others.
  std::function<void(HeartbeatMessage&, bool isExtra)> fillHeartbeat;
  /// Called whenever the control state may have changed.
  std::function<void()> onChange;

 private:
  struct Waiter {
    explicit Waiter(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::optional<OperationResult> result;
  };
  struct PeerHeartbeat {
    Heartbeat heartbeat;
    TimePoint receivedAt;
  };
  /// What is known of the exchange of heartbeats with an address.
  struct HeartbeatLink {
    bool awaitsReply = false;
    TimePoint extraHeartbeatSentAt;  ///< when a heartbeat was last sent back at once
  };

  void replayLog();
  HeartbeatReply receiveHeartbeat(HeartbeatMessage const& message);
  void replyToNewPeer(Heartbeat const& heartbeat, TimePoint now);
  HeartbeatMessage makeHeartbeat(MembershipNumber known, bool isExtra);
  /// The addresses of heartbeats, and the membership that each is known to have.
  std::map<string, MembershipNumber> heartbeatReceivers(TimePoint now) const;
  void sendHeartbeat(string const& ip, HeartbeatMessage const& message);
  void announceNewOwnerships();
  void deliver(std::shared_ptr<Output> output);
  /// How an operation ended; nothing if it took longer than the limit.
  Task<std::optional<OperationResult>> await(OperationId operation, Ms limit);
  Task<void> tickLoop();
  Task<void> heartbeatLoop();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  Ms heartbeatPeriod_;
  bool leaving_ = false;
  NodeId self_;
  Consensus consensus_;
  std::unique_ptr<DurableLog> log_;  ///< null without a disk
  std::map<OperationId, std::shared_ptr<Waiter>> waiters_;
  std::map<NodeId, PeerHeartbeat> peers_;
  std::map<string, HeartbeatLink> links_;  ///< by address
  std::set<string> announcedOwnerships_;
  MembershipManager membership_;
};

}  // namespace tealshelf
