#pragma once
#include "base/durable_log.hpp"
#include "consensus/membership.hpp"
#include "consensus/messages.hpp"

namespace tealshelf {

/// Runs a Consensus against the disk, the connections and the clock.
class Driver {
 public:
  Driver(asio::io_context& io, Settings const& settings, RpcClient& rpc);
  /// Starts heartbeats, founding or joining, and the listeners of the consensus's messages.
  void start(RpcServer& server);
  /// Has a change on a majority of the disks, within a bound. After an unknown end this node has given the
  /// keyspace up: nothing is built on its old view, and only its next owner knows what came of the change.
  Task<Result> propose(string keyspace, vector<Consensus::Change> changes);
  /// True once a majority says that this node still owns the keyspace.
  Task<bool> confirm(string keyspace, Ms limit);
  Consensus& consensus() { return consensus_; }
  Consensus const& consensus() const { return consensus_; }
  bool healthy() const { return consensus_.inMajority(Clock::now()); }
  /// True if the membership bears the losses that it should.
  bool wide() const { return MembershipPolicy::bears(consensus_.membership(), settings_.surviveMachines); }
  /// Where the wanted owner of a keyspace is; nothing if unknown.
  std::optional<Address> ownerOf(string const& keyspace) const;
  /// Hands everything over: this node is wanted no more.
  void leave() {
    leaving_ = true;
    sendHeartbeats();
  }
  void sendHeartbeats();
  /// Gives up this disk's vote, durably, until it has copied all keys from a majority as a newcomer.
  void loseVote() { consensus_.loseVote(randomId()); }
  /// Called for each heartbeat that comes in, with what it carries; true if the registers differ.
  std::function<bool(HeartbeatMessage const&)> onHeartbeat;
  /// Fills in the workers and nodes that a heartbeat shall carry; full asks for the whole register.
  std::function<void(HeartbeatMessage&, bool full)> fillHeartbeat;
  /// Called whenever the control state may have changed.
  std::function<void()> onChange;
  Ms period() const { return period_; }

 private:
  struct Wait {
    explicit Wait(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::optional<Result> result;
  };
  void pump();
  HeartbeatMessage heartbeatFor(MembershipNumber theirs, bool full);
  void send(std::shared_ptr<Batch> b);
  /// How an operation ended; nothing if it took longer than the limit.
  Task<std::optional<Result>> await(std::uint64_t op, Ms limit);
  Task<void> tickLoop();
  Task<void> heartbeatLoop();
  Task<void> joinLoop();
  bool mayJoin() const;
  /// A membership never shrinks below this.
  std::size_t leastMembers() const {
    return std::max<std::size_t>(3, MembershipPolicy::needed(settings_.surviveMachines));
  }
  Task<bool> found();
  Task<bool> copyAll();
  Task<CopyReply> copyFor(CopyAll const& q);
  Task<bool> askToJoin();
  Task<void> askToLeave();
  Task<void> removeSilent();
  Task<bool> joined(JoinRequest q);
  Task<bool> changeMembership(JoinRequest const& q);
  Task<void> pruneLoop();
  Address at(string const& ip) const { return settings_.controlAddress(ip); }

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  Ms period_;
  /// What a learner copied before its promotion, by the disk that it came from, and under which membership.
  std::map<NodeId, DiskCopy> prefetched_;
  MembershipNumber prefetchedUnder_;
  bool fresh_ = false, leaving_ = false, changing_ = false, warned_ = false;
  NodeId id_;
  Consensus consensus_;
  std::unique_ptr<DurableLog> log_;
  std::map<std::uint64_t, std::shared_ptr<Wait>> waits_;
  std::map<NodeId, std::pair<HeartbeatMessage, TimePoint>> others_;
  void sendHeartbeat(string const& ip, HeartbeatMessage const& m);
  std::set<string> awaitingHeartbeat_;  ///< addresses whose answer to a heartbeat is awaited
  std::map<string, int> differ_;        ///< how many heartbeats in a row came with another register, by address
  std::map<string, TimePoint> backAt_;  ///< when a heartbeat was last sent back at once
  std::set<string> owned_;
  std::uint64_t heartbeats_ = 0;
  TimePoint started_ = Clock::now();
};

}  // namespace tealshelf
