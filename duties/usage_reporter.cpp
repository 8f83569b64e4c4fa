#include "duties/usage_reporter.hpp"

namespace tealshelf {

namespace {
/// Reports per window; counts since the last report are lost when the process is killed.
constexpr int reportsPerWindow = 10;
/// Control nodes that are tried for one report.
constexpr std::size_t maxReceivers = 3;
/// Windows that a node keeps at most while no window is closed.
constexpr std::size_t maxWindows = 256;
}  // namespace

UsageReporter::UsageReporter(asio::io_context& io, Settings const& settings, RpcClient& rpc, FleetView& view)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      view_(view),
      ledger_(UsageLedger::Timing::of(settings.bounds)),
      self_{settings.nodeName, randomId()},
      time_(settings.bounds.reportWindow / (2 * reportsPerWindow)),
      counted_(metrics().counter("tealshelf_usage_counted_total", "Requests of tenants that began to run")),
      dropped_(metrics().counter("tealshelf_usage_dropped_total", "Counted requests that were never reported")) {}

void UsageReporter::start() {
  if (settings_.provider.exists()) spawnTask(io_, "usage report", reportLoop());
}

void UsageReporter::count(string const& tenant, TimePoint begunAt) {
  if (!settings_.provider.hasDuty(usageDuty)) return;
  counted_.increment();
  table_.count(self_, ledger_.windowAt(time_.at(begunAt)), tenant);
}

Task<void> UsageReporter::reportLoop() {
  Ms const period = settings_.bounds.reportWindow / reportsPerWindow;
  co_await sleepFor(Ms(static_cast<std::int64_t>(self_.incarnation % static_cast<std::uint64_t>(period.count()))));
  for (;;) {
    co_await report();
    co_await sleepFor(period);
  }
}

Task<void> UsageReporter::report() {
  TimePoint const now = Clock::now();
  if (time_.isSynchronized()) table_.markFinal(self_, ledger_.finalAt(time_.at(now)), now);
  std::uint64_t const dropped = table_.dropOldest(self_, maxWindows);
  if (dropped) {
    dropped_.increment(dropped);
    logWarning("duties", "dropped the usage counts of " + std::to_string(dropped) + " requests: more than " +
                             std::to_string(maxWindows) +
                             " windows haven't been closed; check that a control node can be reached");
  }
  vector<Address> controls = view_.controlAddresses();
  if (controls.size() > maxReceivers) controls.resize(maxReceivers);
  for (Address const& control : controls) {
    try {
      co_await reportTo(control);
      co_return;
    } catch (Error const& error) {
      logDebug("duties", error.what());
    }
  }
}

Task<void> UsageReporter::reportTo(Address control) {
  std::uint64_t const sentRevision = receiver_.revisionSentTo(control);
  std::uint64_t const revision = table_.revision();
  ReportUsage message;
  vector<NodeUsage> changed = table_.changedSince(sentRevision);
  if (changed.empty())
    message.usage = NodeUsage{self_.node, self_.incarnation, table_.finalThrough(self_), {}};
  else
    message.usage = std::move(changed.front());
  if (loads) message.loads = loads();
  TimePoint const askedAt = Clock::now();
  UsageReceipt const receipt = co_await rpc_.call(control, message, settings_.bounds.reportWindow / reportsPerWindow);
  time_.noteAnswer(receipt.clusterTimeMs, askedAt, Clock::now());
  receiver_.recordAccepted(control, receipt.process, sentRevision, revision);
  table_.forget(receipt.closedThrough, TimePoint());
}

}  // namespace tealshelf
