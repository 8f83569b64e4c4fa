#include "edge/request_forwarder.hpp"

#include "edge/forwarded_headers.hpp"

namespace tealshelf {

namespace {
/// The wait for a credit of the tenant is limited to this part of a route's target time.
constexpr int quotaWaitTargetDivisor = 5;
/// A timeout counts as a worker failure if the request was allowed more than this multiple of the target time.
constexpr int silentTargetMultiple = 4;
/// A silent worker is probed after this part of a route's target time; the probe's timeout is this part of inTouch.
constexpr int probeAfterTargetDivisor = 2, probeTimeoutDivisor = 40;

/// Client headers that the edge node sets itself or has handled.
constexpr char const* replacedHeaders[] = {"Time-Left-Ms", "Wanted-Server", "Expect"};

HttpRequest requestForWorker(HttpRequest const& request, RequestPlan const& plan, Worker const& worker,
                             EventStreamReader const& events) {
  HttpRequest forwarded(request.method(), request.target(), 11);
  if (request.method() == http::verb::unknown) forwarded.method_string(request.method_string());
  copyHeaders(request, forwarded);
  for (char const* const replaced : replacedHeaders) forwarded.erase(replaced);
  replaceIdentity(forwarded, *plan.configuration, plan.caller.tenantName());
  forwarded.set("Time-Left-Ms", std::to_string(std::max<std::int64_t>(1, remainingMs(plan.deadline))));
  forwarded.set("Wanted-Server", worker.id);
  if (events.hasEvents()) forwarded.set("Last-Event-Id", std::to_string(events.lastId()));
  forwarded.body() = request.body();
  forwarded.prepare_payload();
  return forwarded;
}

Task<error_code> writeChunk(tcp::socket& socket, string const& bytes) {
  error_code error;
  co_await asio::async_write(socket, http::make_chunk(asio::buffer(bytes)),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

Task<error_code> writeLastChunk(tcp::socket& socket) {
  error_code error;
  co_await asio::async_write(socket, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}
}  // namespace

void RequestForwarder::sweep() {
  pool_.sweep(view_);
  balancer_.sweep(view_);
  warmUps_.sweep();
}

Task<void> RequestForwarder::forward(ClientConnection& client, HttpRequest const& request, RequestPlan const& plan) {
  RetryState retries(client);
  NextStep next = NextStep::tryAnother;
  while (next == NextStep::tryAnother && retries.sends < plan.tries && Clock::now() < plan.deadline) {
    bool const mayBeSent = co_await ensureCredit(plan, retries);
    if (!mayBeSent || retries.watch.clientDisconnected()) break;
    std::optional<Target> const target = co_await nextTarget(client, plan, retries);
    if (!target || retries.watch.clientDisconnected()) break;
    next = co_await tryWorker(client, request, plan, *target, retries);
  }
  bool const ranAtNoWorker = next != NextStep::done && !retries.mayHaveRun;
  if (ranAtNoWorker && retries.credit && plan.caller.tenant)
    quotas_.giveBack(plan.caller.tenant->name, *retries.credit);
  if (next != NextStep::done) co_await failRequest(client, plan, retries);
}

/// A request takes one credit, and another one for a retry after the first has expired, as the retry falls into another
/// window of the rate limit.
Task<bool> RequestForwarder::ensureCredit(RequestPlan const& plan, RetryState& retries) {
  Tenant const* const tenant = plan.caller.tenant;
  if (!tenant || !tenant->isLimited()) co_return true;
  TimePoint const now = Clock::now();
  if (retries.credit && retries.credit->isValid(now)) co_return true;
  TimePoint const until = std::min(plan.deadline, now + plan.route->target / quotaWaitTargetDivisor);
  try {
    retries.credit = co_await quotas_.take(*tenant, until);
  } catch (Error const& error) {
    retries.lastFailure = error.code();
    co_return false;
  }
  co_return true;
}

Task<RequestForwarder::NextStep> RequestForwarder::tryWorker(ClientConnection& client, HttpRequest const& request,
                                                             RequestPlan const& plan, Target const& target,
                                                             RetryState& retries) {
  Worker const& worker = target.worker;
  retries.triedWorkers.insert(worker.id);
  HttpRequest const forwarded = requestForWorker(request, plan, worker, retries.events);
  Exchange exchange(pool_, worker, plan.mayRepeat);
  exchange.setSendDeadline(target.sendDeadline);
  // Other requests run to their end: the client may have half-closed its connection and still wait for the answer.
  bool const endsWithClient = plan.mayRepeat || plan.isStream;
  if (endsWithClient) retries.watch.onDisconnect([&exchange] { exchange.cancel(); });
  std::uint64_t const prefillTokens = plan.pick.promptTokens - plan.pick.sharedTokens;
  balancer_.requestStarted(worker.id, prefillTokens);
  TimePoint const sentAt = Clock::now();
  retries.sentAt = sentAt;
  view_.tallyVersion(worker, *plan.route, sentTally());
  SilenceProbe::Timing const timing{plan.route->target / probeAfterTargetDivisor,
                                    settings_.bounds.inTouch / probeTimeoutDivisor};
  SilenceProbe probe(io_, worker.address, timing,
                     [&](bool reachable) { noteProbe(reachable, worker, plan, retries, exchange); });
  SendResult const result = co_await exchange.send(forwarded, plan.attempt, plan.deadline);
  probe.noteProgress();
  retries.probe = &probe;
  balancer_.prefillFinished(worker.id, prefillTokens);
  if (target.placement && result == SendResult::answered)
    prefixes_.record(*target.placement, std::chrono::duration_cast<Ms>(Clock::now() - sentAt));
  logDebug("request", "attempt " + plan.attempt + " at worker " + worker.id + " ended with result " +
                          std::to_string(static_cast<int>(result)) +
                          (result == SendResult::answered ? " status " + std::to_string(exchange.status()) : ""));
  NextStep next = NextStep::done;
  if (endsWithClient && retries.watch.clientDisconnected())
    abandon(client, exchange);
  else
    next = co_await handleResult(client, plan, exchange, result, retries);
  retries.watch.onDisconnect(nullptr);
  retries.probe = nullptr;
  balancer_.requestEnded(worker.id);
  co_return next;
}

void RequestForwarder::noteProbe(bool reachable, Worker const& worker, RequestPlan const& plan,
                                 RetryState const& retries, Exchange& exchange) {
  if (reachable) {
    balancer_.noteReached(worker);
    return;
  }
  metrics_.unreachableWorkers.increment();
  balancer_.noteUnreached(worker);
  bool const mayMove = plan.mayRepeat && retries.sends + 1 < plan.tries;
  if (mayMove) exchange.cancel();
}

void RequestForwarder::abandon(ClientConnection& client, Exchange& exchange) {
  exchange.abort();
  client.close();
}

Task<RequestForwarder::NextStep> RequestForwarder::handleResult(ClientConnection& client, RequestPlan const& plan,
                                                                Exchange& exchange, SendResult result,
                                                                RetryState& retries) {
  string const worker = exchange.worker().id;
  NextStep next = NextStep::tryAnother;
  bool const wasReached = result == SendResult::answered || result == SendResult::notRun;
  if (wasReached) balancer_.noteReached(exchange.worker());
  switch (result) {
    case SendResult::notSent:
      if (exchange.connectionWasUnanswered())
        balancer_.noteUnreached(exchange.worker());
      else
        balancer_.markFailed(worker, true);
      view_.tally(worker, false);
      retries.lastFailure = ErrorCode::noWorker;
      break;
    case SendResult::notRun:
      noteRefusal(exchange, retries);
      break;
    case SendResult::maybeRun:
      next = noteMaybeRun(exchange, plan, retries);
      break;
    case SendResult::timedOut:
      next = noteTimeout(worker, plan, retries);
      break;
    case SendResult::noRoom:
      retries.lastFailure = ErrorCode::overloaded;
      next = NextStep::stop;
      break;
    case SendResult::answered:
      next = co_await relayAnswer(client, plan, exchange, retries);
      break;
  }
  co_return next;
}

void RequestForwarder::noteRefusal(Exchange const& exchange, RetryState& retries) {
  string const& worker = exchange.worker().id;
  ++retries.sends;
  retries.lastFailure = ErrorCode::workersFull;
  if (exchange.status() != 503 && exchange.status() != 429) {
    balancer_.markFailed(worker, true);
    return;
  }
  balancer_.markFull(worker);
  // A worker that refuses requests while it has free slots is unhealthy, whatever its health answers say.
  std::optional<WorkerLoad> const load = exchange.workerLoad();
  if (load && load->running < load->slots / 2) view_.tally(worker, false);
}

RequestForwarder::NextStep RequestForwarder::noteMaybeRun(Exchange const& exchange, RequestPlan const& plan,
                                                          RetryState& retries) {
  string const& worker = exchange.worker().id;
  ++retries.sends;
  balancer_.markFailed(worker, exchange.onNewConnection());
  if (exchange.onNewConnection()) view_.tally(worker, false);
  retries.mayHaveRun = true;
  retries.lastFailure = ErrorCode::workerFailed;
  return plan.mayRepeat ? NextStep::tryAnother : NextStep::stop;
}

RequestForwarder::NextStep RequestForwarder::noteTimeout(string const& worker, RequestPlan const& plan,
                                                         RetryState& retries) {
  if (plan.deadline - plan.receivedAt > silentTargetMultiple * plan.route->target) view_.tally(worker, false);
  retries.mayHaveRun = true;
  retries.lastFailure = ErrorCode::deadlineExceeded;
  return NextStep::stop;
}

/// Relays an answer, unless it is an error that a retry at another worker may avoid.
Task<RequestForwarder::NextStep> RequestForwarder::relayAnswer(ClientConnection& client, RequestPlan const& plan,
                                                               Exchange& exchange, RetryState& retries) {
  string const worker = exchange.worker().id;
  ++retries.sends;
  // A stream is counted with its first event.
  if (!plan.isStream) countUsageOnce(plan, retries, retries.sentAt);
  if (std::optional<WorkerLoad> const load = exchange.workerLoad()) balancer_.reportLoad(exchange.worker(), *load);
  int const status = exchange.status();
  if (status >= 500) view_.tally(worker, false);
  if (status >= 500) view_.tallyVersion(exchange.worker(), *plan.route, outcomeTally(false, std::nullopt));
  bool const tryAgain = plan.mayRepeat && status >= 500 && retries.sends < plan.tries;
  bool const relays = !tryAgain && mayRelay(client, plan, exchange);
  bool relayed = false;
  if (relays && plan.isStream && status == 200 && !client.isHead)
    relayed = co_await relayEvents(client, plan, exchange, retries);
  else if (relays)
    relayed = co_await relayWholeAnswer(client, plan, exchange);
  if (relayed && !plan.isStream)
    retries.paceMs = std::chrono::duration<double, std::milli>(Clock::now() - retries.sentAt).count();
  if (!relayed && relays && retries.watch.clientDisconnected()) {
    abandon(client, exchange);
    co_return NextStep::done;
  }
  if (relayed) {
    if (status < 500) view_.tallyVersion(exchange.worker(), *plan.route, outcomeTally(true, retries.paceMs));
    if (client.keepAlive && status < 500) {
      balancer_.markHealthy(worker);
      view_.tally(worker, true);
    }
    co_return NextStep::done;
  }
  if (relays) {
    balancer_.markFailed(worker, false);
    view_.tally(worker, false);
  }
  exchange.abort();
  retries.mayHaveRun = true;
  retries.lastFailure = ErrorCode::workerFailed;
  co_return plan.mayRepeat ? NextStep::tryAnother : NextStep::stop;
}

/// True if a worker's answer may be relayed unchanged. 408, 421, 429 and 503 would promise the client that the request
/// never ran, which the worker didn't state; a success needs a Server-Seal header; and once a stream's head was sent,
/// only more events may follow.
bool RequestForwarder::mayRelay(ClientConnection const& client, RequestPlan const& plan,
                                Exchange const& exchange) const {
  int const status = exchange.status();
  if (status == 408 || status == 421 || status == 429 || status == 503) return false;
  if (status < 300 && !exchange.isSealed()) return false;
  return !client.headSent || (plan.isStream && status == 200);
}

Task<bool> RequestForwarder::relayWholeAnswer(ClientConnection& client, RequestPlan const& plan, Exchange& exchange) {
  string body;
  BodyState state = BodyState::partial;
  while (state == BodyState::partial) {
    state = co_await exchange.readBody(body, plan.deadline);
    bool const fits = client.hold->hold(HeldPart::answer, body.size());
    if (!fits) {
      exchange.abort();
      co_await client.reply(io_, errorReply(Error(ErrorCode::answerNotHeld)), 5 * settings_.bounds.inTouch);
      co_return true;
    }
  }
  if (state == BodyState::broken) co_return false;
  http::response<http::string_body> response(static_cast<http::status>(exchange.status()), 11);
  response.result(static_cast<unsigned>(exchange.status()));
  copyHeaders(exchange.headers(), response);
  string const length = exchange.header("Content-Length");
  exchange.release();
  response.body() = std::move(body);
  client.decideKeepAlive(stopping_);
  response.keep_alive(client.keepAlive);
  response.prepare_payload();
  // The answer to a HEAD states the length of the body that a GET would return.
  if (client.isHead && !length.empty()) response.set(http::field::content_length, length);
  client.headSent = true;
  client.hold->enter(PeerPhase::writing);
  error_code error;
  SocketDeadline deadline(io_, client.socket);
  deadline.expireAt(Clock::now() + 5 * settings_.bounds.inTouch);
  co_await http::async_write(client.socket, response, asio::redirect_error(asio::use_awaitable, error));
  if (error) client.keepAlive = false;
  co_return true;
}

void RequestForwarder::countUsageOnce(RequestPlan const& plan, RetryState& retries, TimePoint begunAt) {
  if (!plan.caller.tenant || std::exchange(retries.isCounted, true)) return;
  usage_.count(plan.caller.tenant->name, begunAt);
}

Task<error_code> RequestForwarder::sendStreamHead(ClientConnection& client, Exchange const& exchange) {
  http::response<http::empty_body> response(static_cast<http::status>(exchange.status()), 11);
  copyHeaders(exchange.headers(), response);
  client.decideKeepAlive(stopping_);
  response.keep_alive(client.keepAlive);
  response.chunked(true);
  client.headSent = true;
  http::response_serializer<http::empty_body> serializer(response);
  error_code error;
  co_await http::async_write_header(client.socket, serializer, asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

Task<bool> RequestForwarder::relayEvents(ClientConnection& client, RequestPlan const& plan, Exchange& exchange,
                                         RetryState& retries) {
  EventStreamReader& events = retries.events;
  EventPace pace;
  error_code error;
  if (!client.headSent) error = co_await sendStreamHead(client, exchange);
  SocketDeadline deadline(io_, client.socket);
  BodyState state = BodyState::partial;
  string body;
  while (!error && state == BodyState::partial) {
    body.clear();
    state = co_await exchange.readEvents(body, plan.deadline);
    string const complete = events.feed(body);
    // A stream that ends inside an event is incomplete.
    if (state == BodyState::complete && !events.atEventBoundary()) state = BodyState::broken;
    bool const ends = state == BodyState::complete;
    bool const fits = client.hold->hold(HeldPart::answer, complete.size() + events.partialBytes());
    if (!fits) error = http::error::body_limit;
    if (error) break;
    if (!body.empty() && retries.probe) retries.probe->noteProgress();
    if (!complete.empty()) pace.note(events.lastId(), Clock::now());
    if (!complete.empty()) countUsageOnce(plan, retries, Clock::now());
    if (complete.empty() && !ends) continue;
    deadline.expireAt(Clock::now() + 2 * settings_.bounds.inTouch);
    if (ends) exchange.release();
    if (!complete.empty()) error = co_await writeChunk(client.socket, complete);
    if (ends && !error) error = co_await writeLastChunk(client.socket);
    deadline.cancel();
  }
  if (error) {
    exchange.abort();
    client.keepAlive = false;
    co_return true;
  }
  retries.paceMs = pace.millisecondsPerEvent();
  if (state == BodyState::complete) co_return true;
  events.dropPartialEvent();
  exchange.abort();
  if (Clock::now() < plan.deadline) co_return false;
  truncateAnswer(client);
  co_return true;
}

void RequestForwarder::truncateAnswer(ClientConnection& client) {
  metrics_.truncatedAnswers.increment();
  client.close();
}

Task<void> RequestForwarder::failRequest(ClientConnection& client, RequestPlan const& plan, RetryState const& retries) {
  if (client.headSent) {
    truncateAnswer(client);
    co_return;
  }
  bool const late = Clock::now() >= plan.deadline;
  ErrorCode code = retries.lastFailure;
  if (retries.mayHaveRun) {
    if (late)
      code = ErrorCode::deadlineExceeded;
    else if (errorInfo(code).kind == ErrorKind::rejected || errorInfo(code).kind == ErrorKind::overQuota)
      code = ErrorCode::workerFailed;
  } else if (late && code != ErrorCode::rateExceeded) {
    code = ErrorCode::deadlinePassed;
  }
  HttpReply answer = errorReply(Error(code));
  metrics_.failed.increment();
  if (!retries.mayHaveRun) answer.headers.emplace_back("Retry-After", retryAfterSeconds(plan));
  client.decideKeepAlive(stopping_);
  co_await client.reply(io_, std::move(answer), 5 * settings_.bounds.inTouch);
}

string RequestForwarder::retryAfterSeconds(RequestPlan const& plan) const {
  constexpr double shortest = 0.02;
  double const seconds = std::max(shortest, static_cast<double>(plan.route->target.count()) / 4000.0);
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", seconds);
  return text;
}

}  // namespace tealshelf
