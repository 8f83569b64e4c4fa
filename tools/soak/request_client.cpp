#include "tools/soak/request_client.hpp"

#include "tools/soak/configurations.hpp"

namespace tealshelf::soak {

namespace {
constexpr Ms timeLeft{2000};
/// An answer, at least an error, must arrive within this time after the deadline; generous because the machine is
/// shared.
constexpr Ms answerTimeoutMargin{3000};
/// Share of requests sent to any edge, even one with an outage, since a fault may begin just as a request is sent.
constexpr double anyEdgeShare = 0.1;
constexpr int minEvents = 2, maxEvents = 12;

}  // namespace

ClusterNode& drawEdge(Cluster& cluster, Random& random) {
  vector<ClusterNode*> const all = cluster.nodesOf(NodeRole::edge);
  vector<ClusterNode*> serving;
  for (ClusterNode* const edge : all)
    if (!cluster.hadOutage(*edge, Clock::now(), Clock::now())) serving.push_back(edge);
  bool const any = serving.empty() || random.chance(anyEdgeShare);
  return *random.pick(any ? all : serving);
}

RequestClient::RequestClient(asio::io_context& io, Cluster& cluster, Ledger& ledger, Verdict& verdict,
                             std::uint64_t seed)
    : io_(io), cluster_(cluster), ledger_(ledger), verdict_(verdict), random_(seed, "requests") {}

Task<void> RequestClient::sendRequests(double perSecond) {
  while (!stopping_) {
    co_await sleepFor(random_.untilNext(perSecond));
    if (!stopping_) spawnTask(io_, "request", oneRequest());
  }
}

Task<void> RequestClient::oneRequest() {
  ClusterNode& edge = drawEdge(cluster_, random_);
  RequestKind const kind = drawKind();
  co_await requestAt(edge, kind);
}

RequestKind RequestClient::drawKind() {
  constexpr std::array<RequestKind, 6> kinds{RequestKind::repeatable,      RequestKind::repeatable,
                                             RequestKind::oneShot,         RequestKind::oneShot,
                                             RequestKind::resumableStream, RequestKind::singleStream};
  return kinds[random_.index(kinds.size())];
}

TrackedRequest& RequestClient::draw(RequestKind kind) {
  TrackedRequest request;
  request.id = random_.identifier();
  request.kind = kind;
  request.path = pathStartOf(kind) + request.id;
  request.body = "body of " + request.id;
  bool const isStream = kind == RequestKind::resumableStream || kind == RequestKind::singleStream;
  if (isStream) request.events = random_.between(minEvents, maxEvents);
  return ledger_.add(std::move(request));
}

HttpRequest RequestClient::messageFor(TrackedRequest const& request) const {
  HttpRequest message = makeRequest(http::verb::post, request.path, requestHost);
  message.set("Attempt-Id", request.id);
  message.set("Time-Left-Ms", std::to_string(timeLeft.count()));
  message.body() = request.body;
  return message;
}

Task<bool> RequestClient::requestOn(ClusterNode& edge, PersistentConnection& connection) {
  TrackedRequest& request = draw(drawKind());
  HttpRequest message = messageFor(request);
  message.keep_alive(true);
  ++callsInFlight_;
  HttpAnswer const answer = co_await callOn(io_, connection, std::move(message), timeLeft + answerTimeoutMargin);
  --callsInFlight_;
  verdict_.count("requests on kept connections");
  check(edge, request, answer);
  co_return answer.complete&& answer.keepAlive;
}

Task<bool> RequestClient::requestAt(ClusterNode& edge, RequestKind kind) {
  TrackedRequest& request = draw(kind);
  HttpRequest message = messageFor(request);
  ++callsInFlight_;
  Address const to = edge.address(outsidePort);
  HttpAnswer const answer = co_await callHttp(io_, to, std::move(message), timeLeft + answerTimeoutMargin);
  --callsInFlight_;
  check(edge, request, answer);
  co_return answer.complete&& answer.status == 200;
}

void RequestClient::check(ClusterNode const& edge, TrackedRequest& request, HttpAnswer const& answer) {
  verdict_.count("requests sent");
  if (answer.garbled) verdict_.fail("MIXED", request.id + " got bytes that aren't an HTTP response: " + answer.failure);
  if (!answer.complete) return checkUnanswered(edge, request, answer);
  int const status = answer.status;
  verdict_.count("requests " + std::to_string(status));
  if (status == 200) checkSuccess(request, answer);
  if (isNotRunStatus(status) && !request.mayRunTwice())
    ledger_.notePromiseNotRun(request, "status " + std::to_string(status));
  bool const denied = status >= 300 && status < 500 && !isNotRunStatus(status);
  if (denied) verdict_.fail("DENIED", edge.plan.name + " answers " + request.path + " with " + answer.describe());
}

/// A request must be answered unless its edge had an outage; a stream may also break off with its worker's answer.
void RequestClient::checkUnanswered(ClusterNode const& edge, TrackedRequest const& request, HttpAnswer const& answer) {
  if (cluster_.hadOutage(edge, answer.sentAt - outageMargin, answer.endedAt + outageMargin)) {
    verdict_.count("requests cut by trouble of their edge");
    return;
  }
  if (request.runs == 0 && cluster_.mayHaveClosedUnread(edge, answer)) {
    verdict_.count("requests not read by a process that ends");
    return;
  }
  bool const headCame = answer.status == 200 && request.isStream();
  bool const timeIsUp = answer.endedAt - answer.sentAt >= timeLeft;
  bool const streamMayEnd = headCame && (request.brokenOff || timeIsUp) && !answer.timedOut;
  if (streamMayEnd) {
    verdict_.count("streams broken off with their worker");
    return;
  }
  verdict_.fail("LOST", request.id + " at " + edge.plan.name + " got no complete answer: " + answer.describe());
}

void RequestClient::checkSuccess(TrackedRequest const& request, HttpAnswer const& answer) {
  if (!request.seals.contains(answer.header("Server-Seal")))
    verdict_.fail("MIXED", request.id + " has a seal that no worker set: " + answer.header("Server-Seal"));
  if (answer.header("Attempt-Id") != request.id)
    verdict_.fail("MIXED", request.id + " got the answer to " + answer.header("Attempt-Id"));
  if (request.isStream())
    checkEvents(request, answer);
  else if (answer.body != request.plainAnswer())
    verdict_.fail("MIXED", request.id + " got a wrong body: " + answer.describe());
}

void RequestClient::checkEvents(TrackedRequest const& request, HttpAnswer const& answer) {
  string expected;
  for (int number = 1; number <= request.events; ++number)
    expected += "id: " + std::to_string(number) + "\ndata: " + request.eventText(number) + "\n\n";
  if (answer.body != expected)
    verdict_.fail("ORDER", request.id + " got a complete stream of " + std::to_string(answer.body.size()) +
                               " bytes that differs from the expected " + std::to_string(expected.size()) + " bytes");
}

}  // namespace tealshelf::soak
