#pragma once
#include "base/durable_log.hpp"
#include "tallies/tally_metrics.hpp"
#include "tallies/tally_replica.hpp"

namespace tealshelf {

/// Runs a TallyReplica against the disk, the connections and the clock.
///
/// Runs on the io thread; the log has a thread of its own. Settings and client must outlive it.
class TallyStore {
 public:
  TallyStore(asio::io_context& io, Settings const& settings, RpcClient& rpc, NodeId self);
  void start(RpcServer& server);

  /// Adds to a tally, once for each id of a caller, and returns when that is safe from the losses to survive, or has
  /// reached all members that can be reached, one more at least unless none has answered for `inTouchMs`. Throws
  /// notReady, talliesFull or diskUnavailable if nothing was and will be counted, conflictingAdd if the id came before
  /// with another change, and additionUndecided otherwise.
  Task<void> add(string tally, string callerId, std::int64_t change, TimePoint end);
  /// The sum of a tally. Throws notReady while this node lacks what others have.
  TallyTotal total(string const& tally) const;
  /// True if this node may answer callers; others pass their calls on.
  bool isServing() const { return replica_.isServing(); }

  void setMembership(Membership const& membership);
  std::uint64_t digest() const { return replica_.digest(); }
  void noteHeartbeat(NodeId from, std::uint64_t digest);
  /// The totals and the state of the peers as a JSON text, for those on call.
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
  /// Writes what the replica put out, sends what is due, and answers callers.
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
  std::unique_ptr<DurableLog> log_;  ///< null without a disk
  vector<std::shared_ptr<Waiter>> waiters_;
  MembershipNumber installed_;
  TallyMetrics metrics_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
