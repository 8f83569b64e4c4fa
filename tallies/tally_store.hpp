#pragma once
#include "base/durable_log.hpp"
#include "tallies/tally_metrics.hpp"
#include "tallies/tally_replica.hpp"
#include "tallies/tally_session.hpp"

namespace tealshelf {

/// Connects a TallyReplica to the disk, the network and the clock.
///
/// Runs on the io thread; the log has a thread of its own. Settings and client must outlive it.
class TallyStore {
 public:
  TallyStore(asio::io_context& io, Settings const& settings, RpcClient& rpc, NodeId self);
  void start(RpcServer& server);

  /// Adds to a tally, once for each caller id, and returns when the addition survives the configured number of losses,
  /// or is on all reachable members: at least one other, unless none has answered for `inTouchMs`. Throws notReady,
  /// talliesFull or diskUnavailable if nothing was or will be counted, conflictingAddition if the id was used with
  /// another change, and additionUndecided if the addition isn't durable by `end`: it may be counted or not.
  /// Returns sequence numbers such that a table with them includes the addition.
  Task<VersionVector> add(string tally, string callerId, std::int64_t change, TimePoint end);
  /// The sum of a tally. Throws notReady while this node isn't caught up with the others.
  TallyTotal total(string const& tally) const;
  /// True if this node may answer callers; otherwise their calls are forwarded to another node.
  bool isServing() const { return replica_.isServing(); }
  /// What the callers of this process must find in every answer, whichever node it comes from.
  TallySession& session() { return session_; }
  /// What this node has of some origins.
  VersionVector knownOf(VersionVector const& origins) const { return replica_.knownOf(origins); }
  /// Records that neither this node nor a member had all that this process acknowledged.
  void noteSessionUnmet(TallySurvey const& survey);

  void setMembership(Membership const& membership);
  std::uint64_t digest() const { return replica_.digest(); }
  void noteHeartbeat(NodeId from, std::uint64_t digest);
  /// The totals and the state of the peers as JSON, for operators.
  string report() const;

 private:
  /// A caller whose addition isn't durable yet.
  struct Waiter {
    Waiter(asio::io_context& io, AddPosition waitsFor) : timer(io), position(waitsFor) {}
    asio::steady_timer timer;
    AddPosition position;
    bool isDurable = false;
  };

  void replayLog();
  /// Writes the replica's records; after the sync, wakes waiting callers and sends pushes.
  void flush();
  void sendPushes();
  void send(OutgoingPush push);
  void wakeWaiters();
  Task<TallyPushReply> answerPush(TallyPush push);
  Task<void> waitUntilDurable(AddPosition position, TimePoint end);
  Task<void> tickLoop();
  Ms tickPeriod() const { return settings_.bounds.inTouch / 80; }

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  TallyReplica replica_;
  TallySession session_;
  std::unique_ptr<DurableLog> log_;  ///< null without a data folder
  vector<std::shared_ptr<Waiter>> waiters_;
  MembershipNumber installed_;
  TallyMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
