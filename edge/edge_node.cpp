#include "edge/edge_node.hpp"

#include "edge/request_form.hpp"

namespace tealshelf {

namespace {
constexpr int clientBacklog = 1024;
constexpr std::uint64_t maxReadinessBytes = 1u << 16;
/// Copies of a body while its request is under way: as received, and as sent to a worker.
constexpr std::size_t forwardedBodyCopies = 2;
/// Copies of a lot while it is submitted: as received, its JSON tree, its items, and the message to a store.
constexpr std::size_t lotCopies = 8;
/// Of the connections to the client and to the worker, while neither is read.
constexpr std::size_t unreadBytes = std::size_t{2} * receiveBufferBytes;
/// Checks for idle connections per idle limit; and the minimum of checks per inTouch, since the limit may change.
constexpr int checksPerIdleLimit = 16, checksPerInTouch = 4;

/// Counts a request while it is in progress. May outlive the node, in a task that is destroyed later.
struct ActiveRequest {
  explicit ActiveRequest(std::shared_ptr<std::size_t> active) : count(std::move(active)) { ++*count; }
  ~ActiveRequest() { --*count; }
  ActiveRequest(ActiveRequest const&) = delete;
  ActiveRequest& operator=(ActiveRequest const&) = delete;
  std::shared_ptr<std::size_t> count;
};
}  // namespace

EdgeNode::EdgeNode(asio::io_context& io, Settings const& settings)
    : io_(io),
      settings_(settings),
      rpc_(io, settings.bounds.inTouch / 2),
      rpcServer_(io, settings.relayAddress(settings.ip), settings.bounds.inTouch / 2),
      view_(io, settings, rpc_, string(edgeRole), settings.relayAddress(settings.ip)),
      quotas_(settings, rpc_, view_),
      usage_(io, settings, rpc_, view_),
      forwarder_(io, settings, rpc_, view_, quotas_, usage_, stopping_),
      zoneProber_(io, settings, view_, forwarder_.balancer()),
      lots_(settings, rpc_, view_),
      readiness_(
          io, settings.readiness,
          [this](HttpCall call) -> Task<HttpReply> {
            HttpReply answer;
            bool const ready = view_.isReady() && !stopping_ && !isIsolated();
            answer.status = call.path != "/readiness" ? 404 : ready ? 200 : 503;
            co_return answer;
          },
          maxReadinessBytes, 5 * settings.bounds.inTouch, PeerKind::probe),
      sampler_(metrics().sample([this] { sampleMetrics(); })) {}

void EdgeNode::start() {
  view_.runningAt = [this](string const& worker) { return forwarder_.runningAt(worker); };
  usage_.loads = [this] { return loads(); };
  view_.start(rpcServer_);
  usage_.start();
  rpcServer_.start();
  zoneProber_.start();
  readiness_.start();
  clients_.emplace(io_, settings_.outside, clientBacklog);
  clients_->limitSocketBuffers();
  clients_->start("client listener", [this](tcp::socket socket) {
    std::unique_ptr<PeerHold> hold = overloadManager().admit(PeerKind::client);
    if (!hold) return;
    spawnTask(io_, "client", serve(std::make_shared<ClientConnection>(std::move(socket), std::move(hold))));
  });
  spawnTask(io_, "edge sweep", sweepLoop());
  spawnTask(io_, "idle clients", closeIdleLoop());
  logInfo("edge", settings_.nodeName + " serves clients at " + settings_.outside.text());
}

void EdgeNode::stop() {
  stopping_ = true;
  stoppedAt_ = Clock::now();
  idle_.cancelAll();
}

bool EdgeNode::isEndingSoon() const {
  return stopping_ && Clock::now() - stoppedAt_ > settings_.bounds.grace / 3;
}

Task<void> EdgeNode::sweepLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / 2);
    forwarder_.sweep();
    quotas_.sweep();
    logIsolationChange();
  }
}

void EdgeNode::logIsolationChange() {
  bool const isolated = isIsolated();
  if (isolated == wasIsolated_) return;
  wasIsolated_ = isolated;
  if (isolated)
    logWarning("edge",
               "this node can reach neither the control plane nor any other zone; not ready until updates arrive");
  else
    logInfo("edge", "this node can reach the control plane or another zone again");
}

vector<ServiceLoad> EdgeNode::loads() const {
  return serviceLoads(view_.workers(), [this](string const& worker) { return forwarder_.runningAt(worker); });
}

void EdgeNode::sampleMetrics() {
  metrics_.activeRequests.setCount(*activeRequests_);
  metrics_.isolated.setCount(isIsolated() ? 1 : 0);
  metrics_.hasConfiguration.setCount(view_.configuration() != nullptr);
}

ClientLimits EdgeNode::limitsInForce() const {
  std::shared_ptr<Configuration const> const configuration = view_.configuration();
  return configuration ? configuration->limits : ClientLimits();
}

/// Reads the limit anew in each round, as it may change while connections are idle.
Task<void> EdgeNode::closeIdleLoop() {
  for (;;) {
    Ms const limit = limitsInForce().idleLimit;
    idle_.cancelOlderThan(limit);
    co_await sleepFor(std::clamp(limit / checksPerIdleLimit, Ms(1), settings_.bounds.inTouch / checksPerInTouch));
  }
}

Task<bool> EdgeNode::awaitRequest(ClientConnection& client) {
  client.skipEmptyLines();
  // A pipelined request may have been read along with the last one.
  if (!client.unparsed.empty()) co_return true;
  bool const hasServed = client.headSent;
  if (stopping_ && hasServed && !client.hasInput()) co_return false;
  co_return co_await idle_.awaitRequest(client);
}

Task<std::optional<HttpRequest>> EdgeNode::receiveRequest(ClientConnection& client) {
  ClientLimits const inForce = limitsInForce();
  RequestLimits limits{inForce.maxHeaderBytes, inForce.maxBodyBytes, inForce.headerWait, inForce.idleLimit};
  limits.bodyCopies = forwardedBodyCopies;
  limits.workBytes = unreadBytes;
  RequestOutcome outcome = co_await readRequest(
      io_, client, limits, [](http::request_header<> const& head) { return isUnambiguous(head, head.version()); });
  if (outcome.refusal) co_await refuse(client, *outcome.refusal);
  co_return std::move(outcome.request);
}

Task<void> EdgeNode::refuse(ClientConnection& client, ErrorCode code) {
  ClientLimits const limits = limitsInForce();
  client.keepAlive = false;
  client.headSent = true;
  HttpReply answer = code == ErrorCode::overloaded ? overloadReply() : errorReply(Error(code));
  co_await client.refuse(io_, std::move(answer), limits.headerWait, limits.maxBodyBytes);
}

Task<void> EdgeNode::serve(std::shared_ptr<ClientConnection> client) {
  setSocketOptions(client->socket, 2 * settings_.bounds.inTouch);
  if (client->hold->mustLeave()) co_return co_await refuse(*client, ErrorCode::overloaded);
  bool mayContinue = true;
  while (mayContinue) {
    mayContinue = co_await awaitRequest(*client);
    if (mayContinue) mayContinue = co_await serveRequest(*client);
  }
  client->close();
}

Task<bool> EdgeNode::serveRequest(ClientConnection& client) {
  ActiveRequest const active(activeRequests_);
  client.beginRequest();
  std::optional<HttpRequest> request = co_await receiveRequest(client);
  if (!request) co_return false;
  client.keepAlive = request->keep_alive();
  client.isHead = request->method() == http::verb::head;
  useOriginForm(*request);
  co_await answer(client, std::move(*request));
  co_return client.keepAlive&& client.socket.is_open() && client.endRequest();
}

Task<void> EdgeNode::answer(ClientConnection& client, HttpRequest request) {
  string failure;
  try {
    co_await handle(client, std::move(request));
    if (client.headSent) co_return;
    failure = "the handler sent no answer";
  } catch (std::exception const& error) {
    failure = error.what();
  }
  ++failedRequests_;
  logWarning("edge", "request failed by a fault of this node: " + failure);
  client.keepAlive = false;
  if (!client.headSent) co_await reply(client, errorReply(Error(ErrorCode::callFailed)));
}

Task<void> EdgeNode::reply(ClientConnection& client, HttpReply answer) {
  client.decideKeepAlive(stopping_);
  co_await client.reply(io_, std::move(answer), 5 * settings_.bounds.inTouch);
}

/// The configuration arrives soon after a start; a short wait saves the client a retry.
Task<std::shared_ptr<Configuration const>> EdgeNode::awaitConfiguration(TimePoint now) {
  TimePoint const until = now + settings_.bounds.inTouch / 8;
  while (!view_.configuration() && Clock::now() < until) co_await sleepFor(settings_.bounds.step / 8);
  co_return view_.configuration();
}

Task<void> EdgeNode::handle(ClientConnection& client, HttpRequest request) {
  metrics_.requests.increment();
  TimePoint const now = Clock::now();
  if (isEndingSoon()) {
    // The platform still sends requests here if too few nodes of the zone are ready.
    HttpReply answer = errorReply(Error(ErrorCode::notReady));
    answer.headers.emplace_back("Retry-After", "0.05");
    co_return co_await reply(client, std::move(answer));
  }
  std::shared_ptr<Configuration const> configuration = view_.configuration();
  if (!configuration) configuration = co_await awaitConfiguration(now);
  if (!configuration) {
    HttpReply answer = errorReply(Error(ErrorCode::notReady));
    answer.headers.emplace_back("Retry-After", "0.3");
    co_return co_await reply(client, std::move(answer));
  }
  bool const mayTrustKeys = !configuration->needsKeys || view_.mayTrustKeys();
  if (!mayTrustKeys) co_return co_await reply(client, errorReply(Error(ErrorCode::notReady)));
  string const verb(request.method_string().data(), request.method_string().size());
  string const target(request.target().data(), request.target().size());
  string const host = hostOf(request);
  if (lots_.isLotRequest(*configuration, verb, host, target)) {
    Caller const caller = identifyCaller(*configuration, request, KeyRequirement::required);
    if (caller.status == CallerStatus::refused)
      co_return co_await reply(client, errorReply(Error(ErrorCode::unknownKey)));
    std::uint64_t const wanted = parseNumber(headerOf(request, "Hold-Read-Ms")).value_or(0);
    Ms const hold = std::min(Ms(static_cast<std::int64_t>(wanted)), configuration->limits.idleLimit);
    LotCaller const lotCaller{host, caller.tenantName()};
    HttpReply answer = co_await lots_.call(lotCaller, verb, target, hold);
    co_return co_await reply(client, std::move(answer));
  }
  RequestPlan const plan = planRequest(request, view_.configuration(), now);
  if (!plan.route) co_return co_await reply(client, errorReply(Error(ErrorCode::noRoute)));
  if (plan.caller.status == CallerStatus::refused)
    co_return co_await reply(client, errorReply(Error(ErrorCode::unknownKey)));
  if (plan.route->kind == RouteKind::bulk) {
    bool const fits = client.hold->holdForWork(lotCopies * request.body().size() + unreadBytes);
    if (!fits) co_return co_await reply(client, overloadReply());
    HttpReply answer = co_await submitLot(plan, request);
    co_return co_await reply(client, std::move(answer));
  }
  co_await forwarder_.forward(client, request, plan);
}

Task<HttpReply> EdgeNode::submitLot(RequestPlan const& plan, HttpRequest const& request) {
  try {
    if (request.method() != http::verb::post) throw Error(ErrorCode::lotUnreadable);
    LotSubmission submission{*plan.route, plan.configuration->version, plan.caller.tenantName(), plan.attempt};
    co_return co_await lots_.submit(std::move(submission), request.body());
  } catch (Error const& error) {
    co_return errorReply(error);
  }
}

}  // namespace tealshelf
