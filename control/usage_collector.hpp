#pragma once
#include "control/duty_holder.hpp"
#include "control/node_directory.hpp"
#include "duties/call_backoff.hpp"
#include "duties/cluster_clock.hpp"
#include "duties/service_load_table.hpp"
#include "duties/usage_ledger.hpp"

namespace tealshelf {

/// Collects what data-plane nodes report of tenants' usage and services' load, and forwards it to the holder of the
/// duties. While this node is the holder, closes the windows of usage and sends their reports to the platform.
///
/// Runs on the io thread. Everything passed in must outlive it.
class UsageCollector {
 public:
  UsageCollector(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                 NodeDirectory const& nodes, DutyHolder& duties);
  /// Does nothing if the settings name no platform.
  void start(RpcServer& server);

  void receive(HeartbeatMessage const& message);
  static void fillHeartbeat(HeartbeatMessage& message) { message.wallMs = wallClockMs(); }
  /// Load of all nodes by service, as far as it was reported to this node.
  std::map<string, ServiceLoad> loads() const { return loads_.sums(Clock::now()); }

  /// Progress of the reports of usage, for the status page.
  struct Status {
    std::optional<WindowNumber> closedThrough;  ///< empty before the first window
    WindowNumber currentWindow;
    std::size_t unsent = 0;     ///< reports that the platform hasn't acknowledged
    vector<string> unfinished;  ///< nodes that the next window waits for
    string lastAnswer;          ///< of the platform; "" before the first answer
  };
  Status status() const;

 private:
  UsageReceipt receipt() const;
  std::int64_t trueNowMs() const;
  Task<void> forwardLoop();
  /// Sends the holder what changed since its last receipt.
  Task<void> forwardUsageTo(Address holder);
  Task<void> closeLoop();
  /// Closes the next window if that is due; true if another one may be closed at once.
  Task<bool> closeNext();
  vector<string> unfinishedFor(WindowNumber window) const;
  Task<void> sendLoop();
  Task<void> sendOldest(UsageRecord record);
  void discardClosedWindows();

  asio::io_context& io_;
  Settings const& settings_;
  RpcClient& rpc_;
  ConsensusDriver& driver_;
  NodeDirectory const& nodes_;
  DutyHolder& duties_;
  UsageLedger ledger_;
  std::uint64_t process_ = randomId();
  UsageTable table_;
  UsageSendProgress holder_;
  ServiceLoadTable loads_;
  MedianClock time_;
  CallBackoff backoff_;                  ///< of reports
  std::set<WindowNumber> acknowledged_;  ///< acknowledged by the platform, not yet recorded in the keyspace
  std::map<WindowNumber, int> rejections_;
  string lastAnswer_;
  Counter closed_, sent_, failed_;
  Gauge unclosed_, unsent_;
  SamplerRegistration sampler_;
};

}  // namespace tealshelf
