#pragma once
#include "duties/usage_reporter.hpp"
#include "edge/client_connection.hpp"
#include "edge/client_watch.hpp"
#include "edge/edge_metrics.hpp"
#include "edge/request_plan.hpp"
#include "tenants/quota_client.hpp"
#include "traffic/event_stream.hpp"
#include "traffic/exchange.hpp"
#include "traffic/prefix_report.hpp"
#include "traffic/silence_probe.hpp"
#include "traffic/warm_up_gate.hpp"

namespace tealshelf {

/// Carries request plans out: sends requests to workers, tries others where that is allowed, and passes the answers on.
///
/// Runs on the io thread. Everything passed in must outlive it.
class RequestForwarder {
 public:
  /// `stopping` is true once the process is told to end: answers then close their connections.
  RequestForwarder(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view, QuotaClient& quotas,
                   UsageReporter& usage, bool const& stopping)
      : io_(io),
        settings_(settings),
        view_(view),
        quotas_(quotas),
        usage_(usage),
        stopping_(stopping),
        pool_(io, settings),
        warmUps_(settings, rpc, view, pool_),
        balancer_(settings) {}
  /// Answers a request, or closes the connection where no honest answer can be given.
  Task<void> forward(ClientConnection& client, HttpRequest const& request, RequestPlan const& plan);
  /// Forgets workers that are gone.
  void sweep();
  PrefixReport const& prefixes() const { return prefixes_; }
  /// Requests under way at a worker.
  std::int64_t runningAt(string const& worker) const { return balancer_.runningAt(worker); }
  LoadBalancer& balancer() { return balancer_; }
  /// True if no zone but the own one can be reached.
  bool isZonePartitioned() const { return balancer_.isZonePartitioned(view_.workers()); }

 private:
  /// What the tries of one request have come to so far.
  struct RetryState {
    explicit RetryState(ClientConnection& client) : watch(client.socket) {}
    ClientWatch watch;
    std::set<string> triedWorkers;
    std::uint64_t sends = 0;
    bool inSecondRound = false;  ///< all workers were tried once, and are tried again
    bool mayHaveRun = false;
    std::optional<Credit> credit;  ///< to send it; nothing before the first was taken
    ErrorCode lastFailure = ErrorCode::noWorker;
    EventStreamReader events;
    TimePoint sentAt;               ///< to the present worker
    SilenceProbe* probe = nullptr;  ///< of the present exchange
    bool isCounted = false;         ///< in its tenant's use
    std::optional<double> paceMs;   ///< of the last whole answer, if it can be told
  };
  enum class NextStep { tryAnother, stop, done };

  /// Makes sure that the request is counted for its tenant; false if it may not be sent now.
  Task<bool> ensureCredit(RequestPlan const& plan, RetryState& retries);
  /// A worker that a request may be sent to now, until a time.
  struct Target {
    Worker worker;
    std::optional<PrefixPlacement> placement;
    TimePoint sendDeadline = TimePoint::max();
  };
  // Choice of a worker: request_targets.cpp.
  /// The worker to try next, if there is one. Waits a moment once every worker was tried.
  Task<std::optional<Target>> nextTarget(ClientConnection const& client, RequestPlan const& plan, RetryState& retries);
  /// The best worker that may be sent the request; workers that may not count as tried.
  Task<std::optional<Target>> admittedTarget(RequestPlan const& plan, RetryState& retries);
  /// A worker that warms up and that all nodes together have sent little enough; so many are asked for at most.
  Task<std::optional<Target>> warmingTarget(RequestPlan const& plan, std::set<string> passedOver, int most);
  bool hasSpareCapacity(Worker const& worker) const;
  Task<NextStep> tryWorker(ClientConnection& client, HttpRequest const& request, RequestPlan const& plan,
                           Target const& target, RetryState& retries);
  /// The end of a request whose client is gone: it says nothing of its worker, and no other gets it.
  void abandon(ClientConnection& client, Exchange& exchange);
  /// What a probe of a silent worker showed. A request that may go to another worker leaves one that is out of reach.
  void noteProbe(bool reachable, Worker const& worker, RequestPlan const& plan, RetryState const& retries,
                 Exchange& exchange);
  /// What comes after a send that ended.
  Task<NextStep> handleResult(ClientConnection& client, RequestPlan const& plan, Exchange& exchange, SendResult result,
                              RetryState& retries);
  void noteRefusal(Exchange const& exchange, RetryState& retries);
  NextStep noteMaybeRun(Exchange const& exchange, RequestPlan const& plan, RetryState& retries);
  NextStep noteTimeout(string const& worker, RequestPlan const& plan, RetryState& retries);
  Task<NextStep> relayAnswer(ClientConnection& client, RequestPlan const& plan, Exchange& exchange,
                             RetryState& retries);
  bool mayRelay(ClientConnection const& client, RequestPlan const& plan, Exchange const& exchange) const;
  /// Takes a short answer whole, then passes it on; false if the worker broke it off.
  Task<bool> relayWholeAnswer(ClientConnection& client, RequestPlan const& plan, Exchange& exchange);
  /// Passes events on as they come; true once nothing more is to be done, false if the worker broke off.
  Task<bool> relayEvents(ClientConnection& client, RequestPlan const& plan, Exchange& exchange, RetryState& retries);
  /// A worker began to run the request: counts it in its tenant's use, once.
  void countUsageOnce(RequestPlan const& plan, RetryState& retries, TimePoint begunAt);
  Task<error_code> sendStreamHead(ClientConnection& client, Exchange const& exchange);
  /// Closes the connection in the middle of an answer, which must not look complete.
  void truncateAnswer(ClientConnection& client);
  /// Ends a request that no worker answered.
  Task<void> failRequest(ClientConnection& client, RequestPlan const& plan, RetryState const& retries);
  string retryAfterSeconds(RequestPlan const& plan) const;

  asio::io_context& io_;
  Settings const& settings_;
  FleetView& view_;
  QuotaClient& quotas_;
  UsageReporter& usage_;
  bool const& stopping_;
  ConnectionPool pool_;
  WarmUpGate warmUps_;
  LoadBalancer balancer_;
  ForwardMetrics metrics_;
  PrefixReport prefixes_{metrics()};
};

}  // namespace tealshelf
