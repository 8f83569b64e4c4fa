// Runs the items of lots at workers.
#include "lots/execution/lot_runner.hpp"
#include "tenants/caller.hpp"

namespace tealshelf {

namespace {
/// Share of a worker's capacity that items leave free for other requests: while more than half of the lot's time
/// remains, and after that.
constexpr double relaxedReservedShare = 0.25, urgentReservedShare = 0.1;
constexpr Ms firstRetryPause{2};

HttpRequest requestFor(ItemRecord const& item, LotRecord const& lot, Route const& route, Worker const& worker,
                       Configuration const& configuration, EventStreamReader const& events) {
  HttpRequest request(http::verb::post, item.path, 11);
  request.set(http::field::host, route.host);
  for (HeaderField const& header : item.headers) request.set(header.name, header.value);
  replaceIdentity(request, configuration, lot.tenant);
  request.set("Attempt-Id", item.id);
  request.set("Wanted-Server", worker.id);
  if (events.hasEvents()) request.set("Last-Event-Id", std::to_string(events.lastId()));
  request.body() = item.body;
  request.prepare_payload();
  return request;
}
}  // namespace

std::int64_t LotRunner::remainingTimeMs(LotRecord const& lot, TimePoint now) const {
  Ms const due(lot.dueInMs);
  return (due - ages_.likely(lot.key(), now, Ms(wallClockMs() - lot.submittedAtMs), due)).count();
}

Task<void> LotRunner::startItemsLoop() {
  for (;;) {
    startItems();
    startItemsTimer_.expires_after(settings_.bounds.step / 8);
    error_code ignored;
    co_await startItemsTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

LotRoute LotRunner::routeOf(LotRun const& run, Configuration const& configuration) {
  return findLotRoute(run.lot, run.items.size() ? string_view(run.items.record(0).path) : string_view(), configuration);
}

/// Records of older releases don't tell the prefix of their route, so it is noted under the first configuration that
/// has the route.
void LotRunner::identifyRoutes() {
  std::shared_ptr<Configuration const> const configuration = view_.configuration();
  if (!configuration) return;
  for (auto const& [key, run] : runs_) {
    if (!run->lot.routePrefix.empty()) continue;
    Route const* const route = routeOf(*run, *configuration).route;
    if (route) run->lot.routePrefix = route->prefix;
  }
}

GiveUpReason LotRunner::giveUpReasonOf(LotRun const& run, TimePoint now) const {
  return giveUpReason(run.lot, routeOf(run, *view_.configuration()), ages_.atLeast(run.lot.key(), now),
                      settings_.bounds.applyWithin);
}

void LotRunner::giveUpItems(TimePoint now) {
  for (auto const& [key, run] : runs_) {
    if (!isActive(*run) || run->stalled || run->items.queued().empty()) continue;
    GiveUpReason const reason = giveUpReasonOf(*run, now);
    if (reason == GiveUpReason::none) continue;
    vector<std::uint32_t> const givenUp = run->items.finishQueued();
    for (std::uint32_t const item : givenUp) run->unlistedResults.push_back({item, false, ""});
    listResultsTimer_.cancel();
    logInfo("lots",
            "lot " + run->lot.id + ": gave up " + std::to_string(givenUp.size()) + " items: " + string(textOf(reason)));
  }
}

std::uint64_t LotRunner::slotsOf(string const& service) const {
  std::uint64_t slots = 0;
  for (Worker const* const worker : view_.workersOf(service)) slots += worker->capacity;
  return slots;
}

vector<ServiceLoad> LotRunner::loads() const {
  TimePoint const now = Clock::now();
  std::map<string, ServiceLoad> loads;
  for (ServiceLoad& load : serviceLoads(view_.workers(), [this](string const& worker) { return runningAt(worker); }))
    loads[load.service] = std::move(load);
  std::shared_ptr<Configuration const> const configuration = view_.configuration();
  for (auto const& [key, run] : runs_) {
    Route const* const route = configuration ? routeOf(*run, *configuration).route : nullptr;
    if (!isActive(*run) || !route) continue;
    std::size_t const queued = run->items.queued().size();
    double const left = static_cast<double>(remainingTimeMs(run->lot, now));
    double const slots = static_cast<double>(queued) * meanItemMs_ / std::max(left, meanItemMs_);
    for (TrafficShare const& share : route->shares) {
      ServiceLoad& load = loads[share.service];
      load.service = share.service;
      load.backlog += slots * static_cast<double>(share.weight) / static_cast<double>(route->totalWeight);
    }
  }
  vector<ServiceLoad> list;
  for (auto& [service, load] : loads) list.push_back(std::move(load));
  return list;
}

void LotRunner::startItems() {
  if (!view_.isFresh() || stopping_ || !hasLease()) return;
  giveUpItems(Clock::now());
  while (startNextItem(Clock::now())) {
  }
}

bool LotRunner::startNextItem(TimePoint now) {
  std::shared_ptr<Configuration const> const configuration = view_.configuration();
  vector<RunPtr> runs;
  vector<ScheduledLot> lots;
  for (auto const& [key, run] : runs_) {
    if (!isActive(*run) || !run->items.unfinished()) continue;
    runs.push_back(run);
    lots.push_back({&run->items, routeOf(*run, *configuration).route, run->lot.dueInMs, remainingTimeMs(run->lot, now),
                    !run->stalled});
  }
  std::optional<NextItem> const next = nextItem(
      lots, [this](string const& service) { return slotsOf(service); }, meanItemMs_);
  if (!next) return false;
  RunPtr const& run = runs[next->lot];
  ItemClaim const claim = run->items.start(next->item, next->service);
  spawnTask(io_, "item", runItem(run, claim));
  return true;
}

bool LotRunner::mayTry(LotRun const& run, ItemClaim claim) const {
  if (!isActive(run) || giveUpReasonOf(run, Clock::now()) != GiveUpReason::none) return false;
  return tealshelf::mayTry(run.items, claim, routeOf(run, *view_.configuration()).route,
                           [this](string const& service) { return slotsOf(service); });
}

Task<void> LotRunner::runItem(RunPtr run, ItemClaim claim) {
  EventStreamReader events;
  events.data = "";
  bool over = false;
  Ms retryPause = firstRetryPause;
  while (!over && mayTry(*run, claim)) {
    try {
      over = co_await tryItem(run, claim, events);
    } catch (std::exception const& error) {
      logWarning("lots", "lot " + run->lot.id + ": sending item " + run->items.record(claim.item).id +
                             " to a worker failed: " + error.what());
    }
    // An item that can't be tried again goes back into the queue at once, where it waits or is given up.
    if (over || !mayTry(*run, claim)) break;
    co_await sleepFor(retryPause);
    retryPause = std::min(retryPause * 2, settings_.bounds.step);
  }
  if (!over) run->items.release(claim);
  startItemsTimer_.cancel();
}

std::optional<Worker> LotRunner::pickWorker(PickRequest const& pick) {
  Worker const* worker = balancer_.pick(view_, pick, {}).worker;
  if (!worker && !balancer_.hasHealthyWarmWorker(view_, pick.service))
    worker = balancer_.pickWarmingUp(view_, pick, {});
  if (!worker) return std::nullopt;
  return *worker;
}

Task<bool> LotRunner::tryItem(RunPtr run, ItemClaim claim, EventStreamReader& events) {
  ItemRecord const& item = run->items.record(claim.item);
  LotRecord const& lot = run->lot;
  std::shared_ptr<Configuration const> const configuration = view_.configuration();
  Route const* const route = routeOf(*run, *configuration).route;
  if (!route) co_return false;
  PickRequest pick;
  pick.service = run->items.service(claim.item);
  pick.background = true;
  pick.draw = randomId();
  bool const relaxed = remainingTimeMs(lot, Clock::now()) > lot.dueInMs / 2;
  pick.reservedShare = relaxed ? relaxedReservedShare : urgentReservedShare;
  std::optional<Worker> const worker = pickWorker(pick);
  if (!worker) co_return false;
  WarmUpGate::Admission admission;
  if (!warmUps_.isOpen(*worker)) {
    admission = co_await warmUps_.ask(*worker, Clock::now() + settings_.bounds.step);
    if (admission.isUnanswered) noteFailure(*worker, true);
    if (!admission.isGranted || !mayTry(*run, claim)) co_return false;
  }
  string const workerId = worker->id;
  HttpRequest const request = requestFor(item, lot, *route, *worker, *configuration, events);
  TimePoint const startedAt = Clock::now();
  std::uint64_t const prefillTokens = item.tokens / 2;
  Exchange exchange(pool_, *worker, true);
  exchange.setSendDeadline(admission.sendDeadline);
  balancer_.requestStarted(workerId, prefillTokens);
  view_.tallyVersion(exchange.worker(), *route, sentTally());
  SendResult const result = co_await exchange.send(request, item.id, startedAt + 2 * settings_.bounds.inTouch);
  balancer_.prefillFinished(workerId, prefillTokens);
  bool over = false;
  if (result == SendResult::answered)
    over = co_await readAnswer(run, claim, exchange, events, *route, startedAt);
  else
    noteFailedSend(result, exchange, workerId);
  balancer_.requestEnded(workerId);
  co_return over;
}

void LotRunner::noteFailure(Worker const& worker, bool unreachable) {
  if (!balancer_.isLastResort(worker)) balancer_.markFailed(worker.id, unreachable);
}

void LotRunner::noteFailedSend(SendResult result, Exchange const& exchange, string const& worker) {
  // The worker has no part in it.
  if (result == SendResult::noRoom) return;
  if (result == SendResult::notRun) {
    if (exchange.status() == 503 || exchange.status() == 429)
      balancer_.markFull(worker);
    else
      noteFailure(exchange.worker(), true);
    return;
  }
  bool const notSent = result == SendResult::notSent;
  noteFailure(exchange.worker(), notSent);
  if (notSent || exchange.onNewConnection()) view_.tally(worker, false);
}

Task<bool> LotRunner::readAnswer(RunPtr run, ItemClaim claim, Exchange& exchange, EventStreamReader& events,
                                 Route const& route, TimePoint startedAt) {
  string const worker = exchange.worker().id;
  if (std::optional<WorkerLoad> const load = exchange.workerLoad()) balancer_.reportLoad(exchange.worker(), *load);
  int const status = exchange.status();
  if (status == 200 && !exchange.isSealed()) exchange.abort();
  string body;
  BodyState state = BodyState::partial;
  while (state == BodyState::partial) {
    if (!isActive(*run) || !run->items.isHeld(claim)) {
      exchange.abort();
      co_return false;
    }
    body.clear();
    state = co_await exchange.readEvents(body, Clock::now() + settings_.bounds.inTouch);
    if (status == 200) events.feed(body);
  }
  if (state == BodyState::broken) {
    noteFailure(exchange.worker(), false);
    view_.tally(worker, false);
    events.dropPartialEvent();
    co_return false;
  }
  exchange.release();
  balancer_.markHealthy(worker);
  view_.tally(worker, status < 500);
  view_.tallyVersion(exchange.worker(), route, outcomeTally(status < 500, std::nullopt));
  if (status == 200) {
    double const tookMs = static_cast<double>(std::chrono::duration_cast<Ms>(Clock::now() - startedAt).count());
    meanItemMs_ += (tookMs - meanItemMs_) / 16;
    finishItem(*run, claim, true, *events.data);
    co_return true;
  }
  bool const givenUp =
      status == 422 || (status == 500 && run->items.addFailure(claim.item) >= std::max<std::uint64_t>(1, route.tries));
  if (givenUp) finishItem(*run, claim, false, "");
  co_return givenUp;
}

void LotRunner::finishItem(LotRun& run, ItemClaim claim, bool finished, string text) {
  if (!run.items.finish(claim)) return;
  run.unlistedResults.push_back({claim.item, finished, std::move(text)});
  listResultsTimer_.cancel();
}

}  // namespace tealshelf
