#include "edge/edge_node.hpp"

namespace tealshelf {

namespace {
constexpr int clientBacklog = 1024;
constexpr std::uint64_t maxReadinessBytes = 1u << 16;
}  // namespace

EdgeNode::EdgeNode(asio::io_context& io, Settings const& settings)
    : io_(io),
      settings_(settings),
      rpc_(io, settings.bounds.inTouch / 2),
      rpcServer_(io, settings.relayAddress(settings.ip), settings.bounds.inTouch / 2),
      view_(io, settings, rpc_, "edge", settings.relayAddress(settings.ip)),
      forwarder_(io, settings, view_, stopping_),
      lots_(settings, rpc_, view_),
      readiness_(
          io, settings.readiness,
          [this](HttpCall call) -> Task<HttpReply> {
            HttpReply answer;
            bool const ready = view_.isReady() && !stopping_;
            answer.status = call.path != "/readiness" ? 404 : ready ? 200 : 503;
            co_return answer;
          },
          maxReadinessBytes, 5 * settings.bounds.inTouch),
      sampler_(metrics().sample([this] { sampleMetrics(); })) {}

void EdgeNode::start() {
  view_.start(rpcServer_);
  rpcServer_.start();
  readiness_.start();
  clients_.emplace(io_, settings_.outside, clientBacklog);
  clients_->start("client listener", [this](tcp::socket socket) {
    spawnTask(io_, "client", serve(std::make_shared<ClientConnection>(std::move(socket))));
  });
  spawnTask(io_, "edge sweep", sweepLoop());
  logInfo("edge", settings_.nodeName + " serves clients at " + settings_.outside.text());
}

void EdgeNode::stop() {
  stopping_ = true;
  stoppedAt_ = Clock::now();
  for (ClientConnection* const client : idle_) {
    error_code ignored;
    client->socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
}

bool EdgeNode::isEndingSoon() const {
  return stopping_ && Clock::now() - stoppedAt_ > settings_.bounds.grace / 3;
}

Task<void> EdgeNode::sweepLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / 2);
    forwarder_.sweep();
  }
}

void EdgeNode::sampleMetrics() {
  metrics_.activeRequests.setCount(activeRequests_);
  metrics_.hasConfiguration.setCount(view_.configuration() != nullptr);
}

Task<EdgeNode::ReadResult> EdgeNode::readRequest(ClientConnection& client, RequestParser& parser,
                                                 ClientLimits const& limits) {
  parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
  parser.body_limit(limits.maxBodyBytes);
  error_code error;
  bool expired = false;
  {
    SocketDeadline deadline(io_, client.socket);
    if (!client.buffer.size()) {
      deadline.expireAt(Clock::now() + limits.idleLimit);
      idle_.insert(&client);
      co_await client.socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
      idle_.erase(&client);
      if (error || deadline.expired()) co_return ReadResult::closed;
    }
    deadline.expireAt(Clock::now() + limits.headerWait);
    co_await http::async_read_header(client.socket, client.buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      deadline.expireAt(Clock::now() + limits.idleLimit);
      co_await http::async_read(client.socket, client.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    expired = deadline.expired();
  }
  if (expired || !client.socket.is_open()) co_return ReadResult::closed;
  if (!error) co_return ReadResult::request;
  co_await rejectUnreadable(client, error);
  co_return ReadResult::answeredError;
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
  while (client->keepAlive && client->socket.is_open()) {
    std::shared_ptr<Configuration const> const configuration = view_.configuration();
    ClientLimits const limits = configuration ? configuration->limits : ClientLimits();
    RequestParser parser;
    ReadResult const read = co_await readRequest(*client, parser, limits);
    if (read != ReadResult::request) break;
    ++activeRequests_;
    client->headSent = false;
    client->keepAlive = parser.get().keep_alive() && !stopping_;
    try {
      co_await handle(*client, parser.release());
    } catch (Error const& error) {
      client->keepAlive = false;
      logWarning("edge", error.what());
    }
    --activeRequests_;
  }
  error_code ignored;
  client->socket.shutdown(tcp::socket::shutdown_send, ignored);
  client->socket.close(ignored);
}

Task<void> EdgeNode::reply(ClientConnection& client, HttpReply answer) {
  client.keepAlive = client.keepAlive && !stopping_;
  co_await client.reply(io_, std::move(answer), 5 * settings_.bounds.inTouch);
}

/// The configuration is due any moment after a start; a short wait spares the client a try.
Task<std::shared_ptr<Configuration const>> EdgeNode::awaitConfiguration(TimePoint now) {
  TimePoint const until = now + settings_.bounds.inTouch / 8;
  while (!view_.configuration() && Clock::now() < until) co_await sleepFor(settings_.bounds.step / 8);
  co_return view_.configuration();
}

Task<void> EdgeNode::handle(ClientConnection& client, HttpRequest request) {
  metrics_.requests.increment();
  TimePoint const now = Clock::now();
  if (isEndingSoon()) {
    // The platform still sends requests here where too few nodes of the zone are ready.
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
  string const verb(request.method_string().data(), request.method_string().size());
  string const target(request.target().data(), request.target().size());
  string const host = hostOf(request);
  if (lots_.isLotCall(*configuration, verb, host, target)) {
    std::uint64_t const hold = parseNumber(headerOf(request, "Hold-Read-Ms")).value_or(0);
    HttpReply answer = co_await lots_.call(verb, host, target, Ms(static_cast<std::int64_t>(hold)));
    co_return co_await reply(client, std::move(answer));
  }
  RequestPlan const plan = planRequest(request, view_.configuration(), now);
  if (!plan.route) co_return co_await reply(client, errorReply(Error(ErrorCode::noRoute)));
  if (plan.route->kind == RouteKind::bulk) {
    HttpReply answer = co_await submitLot(plan, request);
    co_return co_await reply(client, std::move(answer));
  }
  co_await forwarder_.forward(client, request, plan);
}

Task<HttpReply> EdgeNode::submitLot(RequestPlan const& plan, HttpRequest const& request) {
  try {
    if (request.method() != http::verb::post) throw Error(ErrorCode::lotUnreadable);
    co_return co_await lots_.submit(*plan.route, plan.attempt, request.body());
  } catch (Error const& error) {
    co_return errorReply(error);
  }
}

}  // namespace tealshelf
