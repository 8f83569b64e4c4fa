#include "control/usage_collector.hpp"

namespace tealshelf {

namespace {
/// How often a control node forwards usage, closes windows and sends reports.
constexpr int roundsPerWindow = 20;
/// Size of the committed reports that the platform hasn't acknowledged, above which no further window is closed: later
/// windows wait at the nodes that counted them.
constexpr std::size_t maxUnsentBytes = 256u << 10;
/// Rejections by the platform after which a report is dropped.
constexpr int maxRejections = 8;
}  // namespace

UsageCollector::UsageCollector(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                               NodeDirectory const& nodes, DutyHolder& duties)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      driver_(driver),
      nodes_(nodes),
      duties_(duties),
      ledger_(UsageLedger::Timing::of(settings.bounds)),
      loads_(settings.bounds.inTouch / 2),
      time_(settings.bounds.inTouch / 2),
      backoff_(settings.bounds.lease),
      closed_(metrics().counter("tealshelf_usage_windows_closed_total", "Windows of usage that this node closed")),
      sent_(metrics().counter("tealshelf_usage_reports_total", "Reports of usage by their answer", {{"end", "taken"}})),
      failed_(metrics().counter("tealshelf_usage_reports_total", "", {{"end", "not_taken"}})),
      unclosed_(metrics().gauge("tealshelf_usage_open_windows", "Windows of usage that ended and aren't closed")),
      unsent_(metrics().gauge("tealshelf_usage_unsent_reports", "Reports that the platform hasn't acknowledged")) {
  sampler_ = metrics().sample([this] {
    if (!settings_.provider.exists()) return;
    Status const current = status();
    unsent_.setCount(current.unsent);
    unclosed_.setCount(current.closedThrough ? current.currentWindow.value - 1 - current.closedThrough->value : 0);
  });
}

void UsageCollector::start(RpcServer& server) {
  if (!settings_.provider.exists()) return;
  server.on<ReportUsage>([this](ReportUsage report) -> Task<UsageReceipt> {
    TimePoint const now = Clock::now();
    string const reporter = report.usage.node;
    table_.merge(report.usage, now);
    loads_.update(reporter, std::move(report.loads), now);
    co_return receipt();
  });
  server.on<CollectUsage>([this](CollectUsage collected) -> Task<UsageReceipt> {
    TimePoint const now = Clock::now();
    for (NodeUsage const& usage : collected.nodes) table_.merge(usage, now);
    loads_.update(collected.collector, std::move(collected.loads), now);
    co_return receipt();
  });
  spawnTask(io_, "usage forward", forwardLoop());
  if (!settings_.provider.hasDuty(usageDuty)) return;
  spawnTask(io_, "usage close", closeLoop());
  spawnTask(io_, "usage send", sendLoop());
}

void UsageCollector::receive(HeartbeatMessage const& message) {
  if (message.wallMs) time_.noteReading(message.heartbeat.sender.id, message.wallMs, Clock::now());
}

std::int64_t UsageCollector::trueNowMs() const {
  return time_.nowMs(Clock::now()).value_or(wallClockMs());
}

UsageReceipt UsageCollector::receipt() const {
  UsageReceipt receipt{process_, WindowNumber(), trueNowMs()};
  std::optional<UsageProgress> const progress = UsageLedger::progressIn(duties_.values());
  if (progress) receipt.closedThrough = progress->closedThrough;
  return receipt;
}

void UsageCollector::discardClosedWindows() {
  std::optional<UsageProgress> const progress = UsageLedger::progressIn(duties_.values());
  Ms const retention = settings_.bounds.usageDelay + settings_.bounds.reportWindow;
  WindowNumber const through = progress ? progress->closedThrough : WindowNumber();
  table_.forget(through, Clock::now() - 2 * retention);
}

Task<void> UsageCollector::forwardLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.reportWindow / roundsPerWindow);
    time_.noteReading(driver_.consensus().self().id, wallClockMs(), Clock::now());
    discardClosedWindows();
    std::optional<Address> const holder = driver_.ownerAddress(dutiesKeyspace);
    if (!holder || holder->ip == settings_.ip) continue;
    try {
      co_await forwardUsageTo(*holder);
    } catch (Error const& error) {
      logDebug("duties", error.what());
    }
  }
}

Task<void> UsageCollector::forwardUsageTo(Address holder) {
  std::uint64_t const sentRevision = holder_.revisionSentTo(holder);
  std::uint64_t const revision = table_.revision();
  CollectUsage message{settings_.nodeName, table_.changedSince(sentRevision), {}};
  for (auto& [service, load] : loads()) message.loads.push_back(load);
  if (message.nodes.empty() && message.loads.empty()) co_return;
  UsageReceipt const receipt = co_await rpc_.call(holder, message, settings_.bounds.reportWindow / roundsPerWindow * 2);
  holder_.recordAccepted(holder, receipt.process, sentRevision, revision);
}

vector<string> UsageCollector::unfinishedFor(WindowNumber window) const {
  TimePoint const now = Clock::now();
  std::set<string> expected;
  for (auto const& [name, node] : nodes_.allNodes(now))
    if (node.role == edgeRole) expected.insert(name);
  return table_.unfinished(window, expected, now - settings_.bounds.usageDelay - settings_.bounds.reportWindow);
}

Task<void> UsageCollector::closeLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.reportWindow / roundsPerWindow);
    bool mayContinue = duties_.mayAct();
    while (mayContinue) mayContinue = co_await closeNext();
  }
}

Task<bool> UsageCollector::closeNext() {
  Values const& values = duties_.values();
  std::size_t unsentBytes = 0;
  for (UsageRecord const& record : UsageLedger::unsent(values)) unsentBytes += record.body.size();
  std::optional<WindowNumber> const window = UsageLedger::nextToClose(values, table_);
  if (!window || unsentBytes > maxUnsentBytes) co_return false;
  vector<string> const missing = unfinishedFor(*window);
  if (!ledger_.mayClose(*window, trueNowMs(), missing)) co_return false;
  if (!missing.empty())
    logWarning("duties", "usage window " + std::to_string(window->value) + " is closed without reports of " +
                             std::to_string(missing.size()) + " nodes, the first is " + missing.front());
  vector<KeyChange> changes = UsageLedger::changesToClose(*window, table_.totals(*window));
  bool const isClosed = co_await duties_.commit(std::move(changes));
  if (isClosed) closed_.increment();
  co_return isClosed&& duties_.mayAct();
}

Task<void> UsageCollector::sendLoop() {
  for (;;) {
    co_await sleepFor(std::max(backoff_.pause(), settings_.bounds.reportWindow / roundsPerWindow));
    if (!duties_.mayAct()) continue;
    vector<UsageRecord> records = UsageLedger::unsent(duties_.values());
    std::erase_if(records, [this](UsageRecord const& record) { return acknowledged_.contains(record.window); });
    if (!records.empty()) {
      UsageRecord oldest = std::move(records.front());
      co_await sendOldest(std::move(oldest));
      continue;
    }
    // Acknowledged reports are removed once no other is left to send. A report may be sent twice, always unchanged.
    vector<KeyChange> changes;
    for (WindowNumber const window : acknowledged_) changes.push_back(UsageLedger::changeToRemove(window));
    if (changes.empty()) continue;
    bool const isWritten = co_await duties_.commit(std::move(changes));
    if (isWritten) acknowledged_.clear();
  }
}

Task<void> UsageCollector::sendOldest(UsageRecord record) {
  PlatformCall call{"/usage", std::move(record.body)};
  PlatformAnswer const answer = co_await duties_.call(std::move(call));
  lastAnswer_ = nameOf(answer);
  bool const isRejected = answer == PlatformAnswer::rejected && ++rejections_[record.window] >= maxRejections;
  if (isRejected)
    logWarning("duties", "the platform rejected the report of usage window " + std::to_string(record.window.value) +
                             " " + std::to_string(maxRejections) + " times; the report is dropped");
  if (answer == PlatformAnswer::accepted || isRejected) {
    (isRejected ? failed_ : sent_).increment();
    acknowledged_.insert(record.window);
    rejections_.erase(record.window);
    backoff_.recordAccepted();
    co_return;
  }
  failed_.increment();
  backoff_.recordNotAccepted();
  logDebug("duties", "the report of usage window " + std::to_string(record.window.value) +
                         " will be sent again; answer of the platform: " + lastAnswer_);
}

UsageCollector::Status UsageCollector::status() const {
  Status status;
  Values const& values = duties_.values();
  std::optional<UsageProgress> const progress = UsageLedger::progressIn(values);
  if (progress) status.closedThrough = progress->closedThrough;
  status.currentWindow = ledger_.windowAt(trueNowMs());
  status.unsent = UsageLedger::unsent(values).size();
  std::optional<WindowNumber> const next = UsageLedger::nextToClose(values, table_);
  if (next) status.unfinished = unfinishedFor(*next);
  status.lastAnswer = lastAnswer_;
  return status;
}

}  // namespace tealshelf
