#pragma once
#include "base/durable_log.hpp"
#include "consensus/control_messages.hpp"
#include "consensus/keyspace_survey.hpp"
#include "consensus/membership_manager.hpp"

namespace tealshelf {

/// Connects a Consensus to the disk, the network and the clock.
///
/// Runs on the io thread; the log has its own thread. Settings and client must outlive it.
class ConsensusDriver {
 public:
  ConsensusDriver(asio::io_context& io, Settings const& settings, RpcClient& rpc);
  /// Registers the message handlers, and starts the heartbeats and the bootstrap or join of the membership.
  void start(RpcServer& server);

  /// Writes changes to a majority of the disks, within a time limit. After the result `unknown` the next takeover
  /// decides whether they take effect; this node has given up the keyspace, so that it can't build on outdated values.
  /// With `expectedEpoch`, nothing is written unless this node still owns the keyspace under that epoch.
  Task<OperationResult> propose(string keyspace, vector<KeyChange> changes,
                                std::optional<Epoch> expectedEpoch = std::nullopt);
  /// True if a majority confirms within the limit that this node still owns the keyspace.
  Task<bool> confirmOwnership(string keyspace, Ms limit);
  /// Has a keyspace on this node if it is active here or other members store entries of it; false if it has none. Never
  /// creates one that has no entries. Throws as KeyspaceSurvey::isHeld does.
  Task<bool> findKeyspace(string keyspace);
  /// Waits until everything recorded so far is synced; throws ErrorCode::diskUnavailable if the disk fails.
  Task<void> waitSynced();

  Consensus& consensus() { return consensus_; }
  Consensus const& consensus() const { return consensus_; }
  bool inContactWithMajority() const { return consensus_.inContactWithMajority(Clock::now()); }
  /// True if the membership survives the loss of as many machines as the settings require.
  bool survivesRequiredLosses() const {
    return MembershipPolicy::survives(consensus_.membership(), settings_.surviveMachines);
  }
  /// The address of a keyspace's preferred owner; nothing if unknown.
  std::optional<Address> ownerAddress(string const& keyspace) const;
  Ms heartbeatPeriod() const { return heartbeatPeriod_; }

  /// Prepares a shutdown: this node is no longer a preferred owner, so that other nodes take its keyspaces over.
  void leave();
  bool isLeaving() const { return leaving_; }
  void sendHeartbeats();
  /// Appends, syncs and sends the pending output of the consensus.
  void flush();

  /// Called for each received heartbeat message.
  std::function<void(HeartbeatMessage const&)> onHeartbeat;
  /// Adds the workers, nodes and statistics that a heartbeat carries. `isExtra`: the heartbeat goes to one node only,
  /// outside the period, so its contents must not be marked as sent to all nodes.
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
  /// State of the heartbeat exchange with one address.
  struct HeartbeatLink {
    bool awaitsReply = false;
    TimePoint extraHeartbeatSentAt;  ///< when replyToNewPeer() last sent a heartbeat
  };

  void replayLog();
  HeartbeatReply receiveHeartbeat(HeartbeatMessage const& message);
  void replyToNewPeer(Heartbeat const& heartbeat, TimePoint now);
  HeartbeatMessage makeHeartbeat(MembershipNumber known, bool isExtra);
  /// The addresses that heartbeats are sent to, each with the membership number that it last reported, or 0.
  std::map<string, MembershipNumber> heartbeatReceivers(TimePoint now) const;
  void sendHeartbeat(string const& ip, HeartbeatMessage const& message);
  void announceNewOwnerships();
  void deliver(std::shared_ptr<Output> output);
  /// Waits for the result of an operation; nothing if it takes longer than the limit.
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
  KeyspaceSurvey survey_;
};

}  // namespace tealshelf
