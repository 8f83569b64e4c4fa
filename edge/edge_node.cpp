#include "edge/edge_node.hpp"

#include "edge/request_form.hpp"
#include "edge/request_head.hpp"

namespace tealshelf {

namespace {
constexpr int clientBacklog = 1024;
constexpr std::uint64_t maxReadinessBytes = 1u << 16;
/// Size of one read of a head.
constexpr std::size_t headReadBytes = 1u << 12;
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

bool awaitsContinue(http::request<http::string_body> const& request) {
  return request.version() >= 11 && beast::iequals(request[http::field::expect], "100-continue");
}
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
          maxReadinessBytes, 5 * settings.bounds.inTouch),
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
  clients_->start("client listener", [this](tcp::socket socket) {
    spawnTask(io_, "client", serve(std::make_shared<ClientConnection>(std::move(socket))));
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
  if (client.buffer.size()) co_return true;
  bool const hasServed = client.headSent;
  if (stopping_ && hasServed && !client.hasInput()) co_return false;
  co_return co_await idle_.awaitRequest(client);
}

Task<bool> EdgeNode::readRequest(ClientConnection& client, RequestParser& parser) {
  ClientLimits const limits = limitsInForce();
  error_code const error = co_await readMessage(client, parser, limits);
  if (!client.socket.is_open()) co_return false;
  if (error) co_await rejectUnreadable(client, error);
  co_return !error;
}

Task<error_code> EdgeNode::receiveHead(ClientConnection& client, std::size_t maxBytes) {
  for (;;) {
    client.skipEmptyLines();
    HeadState const state = headStateOf(client.received());
    if (state == HeadState::folded) co_return http::error::bad_field;
    if (state == HeadState::complete || client.buffer.size() >= maxBytes) co_return error_code();
    error_code error;
    asio::mutable_buffer const room = client.buffer.prepare(headReadBytes);
    std::size_t const count =
        co_await client.socket.async_read_some(room, asio::redirect_error(asio::use_awaitable, error));
    client.buffer.commit(count);
    // A read after the end of the stream would never return.
    if (error == asio::error::eof && client.buffer.size()) co_return http::error::partial_message;
    if (error == asio::error::eof) co_return http::error::end_of_stream;
    if (error) co_return error;
  }
}

Task<error_code> EdgeNode::readMessage(ClientConnection& client, RequestParser& parser, ClientLimits const& limits) {
  parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
  parser.body_limit(limits.maxBodyBytes);
  error_code error;
  SocketDeadline deadline(io_, client.socket);
  deadline.expireAt(Clock::now() + limits.headerWait);
  error = co_await receiveHead(client, limits.maxHeaderBytes);
  if (error) co_return error;
  co_await http::async_read_header(client.socket, client.buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return error;
  if (!isUnambiguous(parser.get(), parser.get().version())) co_return http::error::bad_field;
  deadline.expireAt(Clock::now() + limits.idleLimit);
  if (awaitsContinue(parser.get()) && !parser.is_done()) error = co_await client.sendContinue();
  if (error) co_return error;
  co_await http::async_read(client.socket, client.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

Task<void> EdgeNode::rejectUnreadable(ClientConnection& client, error_code error) {
  client.keepAlive = false;
  std::optional<ErrorCode> code;
  if (error == http::error::header_limit)
    code = ErrorCode::headersTooLong;
  else if (error == http::error::body_limit)
    code = ErrorCode::bodyTooLong;
  else if (error != http::error::end_of_stream && isHttpError(error))
    code = ErrorCode::badHeaders;
  if (code) co_await reply(client, errorReply(Error(*code)));
}

Task<void> EdgeNode::serve(std::shared_ptr<ClientConnection> client) {
  setSocketOptions(client->socket, 2 * settings_.bounds.inTouch);
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
  RequestParser parser;
  bool const whole = co_await readRequest(client, parser);
  if (!whole) co_return false;
  client.keepAlive = parser.get().keep_alive();
  client.isHead = parser.get().method() == http::verb::head;
  HttpRequest request = parser.release();
  useOriginForm(request);
  co_await answer(client, std::move(request));
  co_return client.keepAlive&& client.socket.is_open();
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
    std::uint64_t const hold = parseNumber(headerOf(request, "Hold-Read-Ms")).value_or(0);
    LotCaller const lotCaller{host, caller.tenantName()};
    HttpReply answer = co_await lots_.call(lotCaller, verb, target, Ms(static_cast<std::int64_t>(hold)));
    co_return co_await reply(client, std::move(answer));
  }
  RequestPlan const plan = planRequest(request, view_.configuration(), now);
  if (!plan.route) co_return co_await reply(client, errorReply(Error(ErrorCode::noRoute)));
  if (plan.caller.status == CallerStatus::refused)
    co_return co_await reply(client, errorReply(Error(ErrorCode::unknownKey)));
  if (plan.route->kind == RouteKind::bulk) {
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
