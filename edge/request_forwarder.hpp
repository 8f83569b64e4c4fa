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

/// Executes request plans: sends requests to workers, retries at others where allowed, and relays the answers.
///
/// Runs on the io thread. Everything passed in must outlive it.
class RequestForwarder {
 public:
  /// `stopping` becomes true when the process shuts down: answers then close their connections.
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
  /// Answers a request, or closes the connection if an answer has begun that can't be completed.
  Task<void> forward(ClientConnection& client, HttpRequest const& request, RequestPlan const& plan);
  /// Drops the state of workers that are gone.
  void sweep();
  PrefixReport const& prefixes() const { return prefixes_; }
  /// Number of requests in progress at a worker.
  std::int64_t runningAt(string const& worker) const { return balancer_.runningAt(worker); }
  LoadBalancer& balancer() { return balancer_; }
  /// True if no zone but this node's own can be reached.
  bool isZonePartitioned() const { return balancer_.isZonePartitioned(view_.workers()); }

 private:
  /// State of one request across its tries.
  struct RetryState {
    explicit RetryState(ClientConnection& client) : watch(client.socket) {}
    ClientWatch watch;
    std::set<string> triedWorkers;
    std::uint64_t sends = 0;
    bool inSecondRound = false;  ///< all workers were tried once and may be tried again
    bool mayHaveRun = false;
    std::optional<Credit> credit;  ///< permission to send the request; empty until one was taken
    ErrorCode lastFailure = ErrorCode::noWorker;
    EventStreamReader events;
    TimePoint sentAt;               ///< when the request was sent to the current worker
    SilenceProbe* probe = nullptr;  ///< probe of the current exchange
    bool isCounted = false;         ///< counted in its tenant's usage
    std::optional<double> paceMs;   ///< of the last complete answer, if measurable
  };
  enum class NextStep { tryAnother, stop, done };

  /// Ensures that the request holds a valid credit of its tenant; false if it may not be sent now.
  Task<bool> ensureCredit(RequestPlan const& plan, RetryState& retries);
  /// A worker that a request may be sent to, until a deadline.
  struct Target {
    Worker worker;
    std::optional<PrefixPlacement> placement;
    TimePoint sendDeadline = TimePoint::max();
  };
  // Selection of a worker, defined in request_targets.cpp.
  /// The worker to try next, if any. Pauses before a second round over all workers.
  Task<std::optional<Target>> nextTarget(ClientConnection const& client, RequestPlan const& plan, RetryState& retries);
  /// The best worker that admits the request; those that don't count as tried.
  Task<std::optional<Target>> admittedTarget(RequestPlan const& plan, RetryState& retries);
  /// A worker that is warming up and admits the request; requests admission to at most `most` workers.
  Task<std::optional<Target>> warmingTarget(RequestPlan const& plan, std::set<string> excluded, int most);
  bool hasSpareCapacity(Worker const& worker) const;
  Task<NextStep> tryWorker(ClientConnection& client, HttpRequest const& request, RequestPlan const& plan,
                           Target const& target, RetryState& retries);
  /// Ends a request whose client has disconnected: no retry, and no effect on the worker's statistics.
  void abandon(ClientConnection& client, Exchange& exchange);
  /// Handles the result of a probe of a silent worker: cancels the exchange if the worker is unreachable and the
  /// request may be retried elsewhere.
  void noteProbe(bool reachable, Worker const& worker, RequestPlan const& plan, RetryState const& retries,
                 Exchange& exchange);
  /// Handles the result of a send and decides what to do next.
  Task<NextStep> handleResult(ClientConnection& client, RequestPlan const& plan, Exchange& exchange, SendResult result,
                              RetryState& retries);
  void noteRefusal(Exchange const& exchange, RetryState& retries);
  NextStep noteMaybeRun(Exchange const& exchange, RequestPlan const& plan, RetryState& retries);
  NextStep noteTimeout(string const& worker, RequestPlan const& plan, RetryState& retries);
  Task<NextStep> relayAnswer(ClientConnection& client, RequestPlan const& plan, Exchange& exchange,
                             RetryState& retries);
  bool mayRelay(ClientConnection const& client, RequestPlan const& plan, Exchange const& exchange) const;
  /// Reads a whole answer, then relays it; false if the worker didn't complete it.
  Task<bool> relayWholeAnswer(ClientConnection& client, RequestPlan const& plan, Exchange& exchange);
  /// Relays events as they arrive; true if the request is done, false if the worker didn't complete the stream.
  Task<bool> relayEvents(ClientConnection& client, RequestPlan const& plan, Exchange& exchange, RetryState& retries);
  /// Counts the request in its tenant's usage when a worker first begins to answer it.
  void countUsageOnce(RequestPlan const& plan, RetryState& retries, TimePoint begunAt);
  Task<error_code> sendStreamHead(ClientConnection& client, Exchange const& exchange);
  /// Closes the connection in the middle of an answer, so that the answer doesn't look complete.
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
