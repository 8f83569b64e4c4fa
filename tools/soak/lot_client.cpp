#include "tools/soak/lot_client.hpp"

#include "tools/soak/configurations.hpp"
#include "tools/soak/request_client.hpp"

namespace tealshelf::soak {

namespace {
constexpr int maxSubmissions = 8;
constexpr Ms firstSubmissionPause{100}, maxSubmissionPause{1000}, submitLimit{12000}, lotReadLimit{6000},
    endLimit{10000};
constexpr Ms observePause{60};
constexpr double failingShare = 0.02, impossibleShare = 0.02, endedShare = 0.06, resentShare = 0.1,
                 lostAnswerShare = 0.05, noRetryShare = 0.3, bodyShare = 0.2, rereadShare = 0.4;
constexpr string_view errorStart = "{\"error\":\"";
constexpr int minItemEvents = 2, maxItemEvents = 8;

string itemAsJson(TrackedRequest const& item) {
  return "{\"serverId\":\"" + item.id + "\",\"urlPath\":\"" + item.path +
         "\",\"headerMap\":{\"Token-Count\":\"100,50\"},\"payload\":\"" + encodeBase64(item.body) +
         "\",\"tokens\":150}";
}

/// A blank and the code of an error answer of tealshelf itself; empty for other answers.
string codeOf(HttpAnswer const& answer) {
  bool const hasCode = answer.status >= 400 && answer.body.starts_with(errorStart);
  if (!hasCode) return "";
  return " " + answer.body.substr(errorStart.size(), answer.body.find('"', errorStart.size()) - errorStart.size());
}
}  // namespace

LotClient::LotClient(asio::io_context& io, Options const& options, Cluster& cluster, Ledger& ledger,
                     LotChecker& lotChecker, SelfTest& selfTest, Verdict& verdict)
    : io_(io),
      options_(options),
      cluster_(cluster),
      ledger_(ledger),
      lotChecker_(lotChecker),
      selfTest_(selfTest),
      verdict_(verdict),
      random_(options.seed, "lots") {}

Task<void> LotClient::submitLots() {
  while (!stopping_) {
    co_await sleepFor(random_.untilNext(options_.lotsPerSecond));
    if (!stopping_) spawnTask(io_, "lot", submit(drawLot()));
  }
}

Lot& LotClient::drawLot() {
  std::unique_ptr<Lot> lot = std::make_unique<Lot>();
  lot->id = random_.identifier();
  lot->host = random_.pick(lotHosts);
  lot->pathStart = random_.chance(options_.unservedShare) ? unservedPathStart : lotPathStart;
  int const count = random_.between(1, 2 * options_.itemsPerLot);
  for (int number = 0; number < count; ++number) {
    string const item = drawItem(*lot);
    lot->items.push_back(item);
    lot->itemSet.insert(item);
    lot->body += (number ? "," : "{\"requests\":[") + itemAsJson(ledger_.at(item));
  }
  lot->body += "]}";
  return lotChecker_.add(std::move(lot));
}

string LotClient::drawItem(Lot& lot) {
  TrackedRequest item;
  item.id = random_.identifier();
  item.kind = RequestKind::lotItem;
  item.lot = lot.id;
  item.path = lot.pathStart + "item/" + item.id;
  item.body =
      "body of " + item.id + " " + string(static_cast<std::size_t>(random_.between(0, options_.itemBytes)), 'b');
  item.events = random_.between(minItemEvents, maxItemEvents);
  double const draw = random_.share();
  if (draw < failingShare) item.verdict = WorkerVerdict::alwaysFails;
  if (draw > 1 - impossibleShare) item.verdict = WorkerVerdict::impossible;
  return ledger_.add(std::move(item)).id;
}

/// Every call must be answered unless the edge had an outage or closed the connection during shutdown.
void LotClient::checkIsAnswered(ClusterNode const& edge, string const& what, HttpAnswer const& answer) {
  if (answer.complete || cluster_.mayHaveClosedUnread(edge, answer)) return;
  if (cluster_.hadOutage(edge, answer.sentAt - outageMargin, answer.endedAt + outageMargin)) return;
  verdict_.fail("LOST", what + " at " + edge.plan.name + " got no complete answer: " + answer.describe());
}

Task<HttpAnswer> LotClient::post(Lot& lot, ClusterNode& edge) {
  HttpRequest request = makeRequest(http::verb::post, lot.pathStart + lot.id, lot.host);
  request.set("Attempt-Id", lot.id);
  request.set(http::field::content_type, "application/json");
  request.body() = lot.body;
  Address const to = edge.address(outsidePort);
  HttpAnswer answer = co_await callHttp(io_, to, std::move(request), submitLimit);
  checkIsAnswered(edge, "lot " + lot.id, answer);
  if (answer.complete) verdict_.count("lot submissions " + std::to_string(answer.status) + codeOf(answer));
  bool const denied = answer.complete && answer.status >= 300 && answer.status < 500 && !isNotRunStatus(answer.status);
  if (denied) verdict_.fail("DENIED", edge.plan.name + " answers lot " + lot.id + " with " + answer.describe());
  co_return answer;
}

/// Submits a lot, with retries, until the outcome is clear.
Task<void> LotClient::submit(Lot& lot) {
  ++callsInFlight_;
  Ms pause = firstSubmissionPause;
  bool const givesUpOnRefusal = random_.chance(noRetryShare);
  for (int attempt = 0; attempt < maxSubmissions && lot.state != Lot::State::accepted; ++attempt) {
    HttpAnswer const answer = co_await post(lot, drawEdge(cluster_, random_));
    bool const answerLost = random_.chance(lostAnswerShare);
    bool const accepted = answer.complete && answer.status == 202 && !answerLost;
    bool const promised = answer.complete && isNotRunStatus(answer.status) && !answerLost;
    if (accepted) lotChecker_.noteAccepted(lot);
    if (!accepted && !promised) lot.hadUnclearAnswer = true;
    // Some clients don't retry after a refusal; their lot must never run, even if capacity becomes free later.
    if (promised && givesUpOnRefusal) break;
    if (stopping_ && !accepted) break;
    if (!accepted) co_await sleepFor(pause);
    pause = std::min(2 * pause, maxSubmissionPause);
  }
  bool const accepted = lot.state == Lot::State::accepted;
  if (!accepted && !lot.hadUnclearAnswer) lotChecker_.noteRefused(lot);
  if (!accepted && lot.hadUnclearAnswer) lot.state = Lot::State::unclear;
  if (accepted && random_.chance(resentShare)) co_await post(lot, drawEdge(cluster_, random_));
  if (accepted && !options_.runsSelfTest && random_.chance(endedShare)) {
    co_await sleepFor(random_.duration(cluster_.bounds().settleWithin, 3 * cluster_.bounds().settleWithin));
    co_await end(lot);
  }
  --callsInFlight_;
}

Task<void> LotClient::end(Lot& lot) {
  lot.endRequested = true;
  for (int attempt = 0; attempt < maxSubmissions; ++attempt) {
    ClusterNode& edge = drawEdge(cluster_, random_);
    HttpRequest request = makeRequest(http::verb::delete_, "/lots/" + lot.id, lot.host);
    HttpAnswer const answer = co_await callHttp(io_, edge.address(outsidePort), std::move(request), endLimit);
    checkIsAnswered(edge, "the order to end lot " + lot.id, answer);
    if (answer.complete && answer.status == 404)
      lotChecker_.fail(lot, "LOST", edge.plan.name + " can't end it: " + answer.describe(), edge.plan.name);
    if (answer.complete && answer.status == 200) {
      verdict_.count("lots ended");
      // Stores with an outage since then may go on running items; the bound holds for connected machines only.
      co_await sleepFor(cluster_.bounds().cancelWithin);
      if (!cluster_.isFaultFreeFor(2 * cluster_.bounds().inTouch)) co_return;
      for (string const& item : lot.items) ledger_.at(item).mustNotRunAfter = Clock::now();
      co_return;
    }
    co_await sleepFor(maxSubmissionPause / 2);
  }
}

Task<void> LotClient::observe() {
  ++callsInFlight_;
  while (!stopping_) {
    vector<Lot*> const lots = lotChecker_.accepted();
    if (!lots.empty()) co_await observeOnce(*lots[random_.index(lots.size())]);
    co_await sleepFor(observePause);
  }
  --callsInFlight_;
}

Task<void> LotClient::observeOnce(Lot& lot) {
  ClusterNode& edge = drawEdge(cluster_, random_);
  bool const asksBody = random_.chance(bodyShare);
  if (asksBody) {
    string const item = random_.pick(lot.items);
    if (!lot.positions.contains(item)) co_await readBody(lot, edge, item);
    co_return;
  }
  std::size_t const listedBefore = lot.seen.size();
  bool const readsAgain = listedBefore > 0 && random_.chance(rereadShare);
  std::uint64_t const from = readsAgain ? random_.index(listedBefore) : listedBefore;
  co_await read(lot, edge, from, random_.chance(0.5) ? Ms(1000) : Ms(0));
}

Task<LotReading> LotClient::read(Lot& lot, ClusterNode& edge, std::uint64_t from, Ms hold) {
  string const target = "/lots/" + lot.id + "?startAfter=" + std::to_string(from);
  HttpRequest request = makeRequest(http::verb::get, target, lot.host);
  if (hold > Ms(0)) request.set("Hold-Read-Ms", std::to_string(hold.count()));
  HttpAnswer answer = co_await callHttp(io_, edge.address(outsidePort), std::move(request), lotReadLimit);
  selfTest_.corruptRead(lot, answer);
  checkIsAnswered(edge, "a read of lot " + lot.id, answer);
  lotChecker_.checkRead(lot, from, answer, edge.plan.name);
  LotReading reading;
  if (answer.complete && answer.status == 200) reading.page = readLotPage(answer.body);
  if (!reading.page) reading.failureText = answer.describe();
  co_return reading;
}

Task<ReadOutcome> LotClient::readAll(Lot& lot, ClusterNode& edge) {
  std::size_t const listedBefore = lot.seen.size();
  std::uint64_t from = 0;
  bool more = true;
  while (more) {
    LotReading const reading = co_await read(lot, edge, from, Ms(0));
    ReadOutcome const failed{false, reading.failureText};
    if (!reading.page) co_return failed;
    from += reading.page->outputs.size();
    more = !reading.page->outputs.empty() && from < lot.items.size();
  }
  ReadOutcome outcome;
  outcome.succeeded = from >= listedBefore;
  if (!outcome.succeeded)
    outcome.failureText = std::to_string(from) + " of " + std::to_string(listedBefore) + " known results were returned";
  co_return outcome;
}

Task<ReadOutcome> LotClient::readBody(Lot& lot, ClusterNode& edge, string item) {
  HttpRequest request = makeRequest(http::verb::get, "/items/" + lot.id + "?serverId=" + item, lot.host);
  HttpAnswer answer = co_await callHttp(io_, edge.address(outsidePort), std::move(request), lotReadLimit);
  selfTest_.corruptBody(lot, answer);
  checkIsAnswered(edge, "the body of " + item, answer);
  bool const missing = lotChecker_.checkItem(lot, item, answer, edge.plan.name);
  ReadOutcome outcome;
  outcome.succeeded = answer.complete && answer.status == 200;
  if (!outcome.succeeded) outcome.failureText = answer.describe();
  if (!missing) co_return outcome;
  // The item may have been listed in the meantime.
  ReadOutcome const whole = co_await readAll(lot, edge);
  if (whole.succeeded) lotChecker_.failMissingItem(lot, item, edge.plan.name);
  outcome.succeeded = whole.succeeded && lot.positions.contains(item);
  co_return outcome;
}

}  // namespace tealshelf::soak
