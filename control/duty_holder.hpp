#pragma once
#include "base/metrics.hpp"
#include "consensus/consensus_driver.hpp"
#include "consensus/keyspace_names.hpp"
#include "duties/duty_preference.hpp"
#include "duties/platform_client.hpp"
#include "duties/platform_contact.hpp"

namespace tealshelf {

/// Holds the duties, the calls that one control node at a time makes to the platform, while this node owns the keyspace
/// `duties`: claims them under the next fencing token, maintains the lease, makes the calls, and relinquishes them if
/// another node reaches the platform and this one doesn't. See docs/design-duties.md.
///
/// Runs on the io thread. Everything passed in must outlive it.
class DutyHolder {
 public:
  DutyHolder(asio::io_context& io, Settings const& settings, ConsensusDriver& driver);
  /// Does nothing if the settings name no platform.
  void start();

  /// True while this node holds the duties and may call the platform.
  bool mayAct() const { return lease_.mayAct(Clock::now()); }
  /// Calls the platform with the fencing token. Relinquishes the duties if the platform has seen a higher one.
  Task<PlatformAnswer> call(PlatformCall call);
  /// Writes changes to the keyspace; false unless they were committed while this node held the duties.
  Task<bool> commit(vector<KeyChange> changes);
  /// The committed values of the keyspace, as far as this node knows them; valid until the next co_await.
  Values const& values() const { return driver_.consensus().committedValues(dutiesKeyspace); }
  std::optional<DutyRecord> record() const;
  std::uint64_t fence() const { return lease_.fence(); }
  /// Time since this node last reached the platform, or started.
  Ms platformSilence() const { return contact_.silence(Clock::now()); }

  void receive(HeartbeatMessage const& message);
  void fillHeartbeat(HeartbeatMessage& message) const;

 private:
  Task<void> leaseLoop();
  /// Claims the duties if this node has become the owner, then confirms its ownership.
  Task<void> maintainLease();
  Task<void> claim(Epoch epoch);
  Task<void> confirm(Epoch epoch);
  void relinquish(string const& reason);
  Task<void> platformProbeLoop();
  /// Tells the consensus which nodes this one passes over as owner of the duties.
  void applyPreference(std::set<NodeId> unfit);
  void sample();

  asio::io_context& io_;
  Settings const& settings_;
  ConsensusDriver& driver_;
  DutyLease lease_;
  PlatformClient platform_;
  PlatformContact contact_;
  DutyPreference preference_;
  Counter claims_, relinquishments_;
  Gauge holds_, fence_, silence_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
