#include "tools/soak/operator_client.hpp"

#include "tools/soak/configurations.hpp"

#include <rapidjson/document.h>

namespace tealshelf::soak {

namespace {
constexpr Ms orderLimit{1500}, settingsReadLimit{1500}, retryPause{60}, readPause{40}, unlimited{3600000};
constexpr double orderAnswerLostShare = 0.08, raceShare = 0.15, orderResentShare = 0.1;
constexpr int maxVersionStep = 3;

bool sameContent(string const& left, string const& right) {
  rapidjson::Document first, second;
  first.Parse(left.data(), left.size());
  second.Parse(right.data(), right.size());
  return !first.HasParseError() && !second.HasParseError() && first == second;
}

std::uint64_t versionIn(string const& text) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  bool const valid = !document.HasParseError() && document.IsObject() && document.HasMember("version") &&
                     document["version"].IsUint64();
  return valid ? document["version"].GetUint64() : 0;
}
}  // namespace

OperatorClient::OperatorClient(asio::io_context& io, Cluster& cluster, Verdict& verdict, std::uint64_t seed)
    : io_(io), cluster_(cluster), verdict_(verdict), random_(seed, "operator") {}

vector<std::uint64_t> OperatorClient::acknowledgedVersions() const {
  vector<std::uint64_t> versions;
  for (Acknowledged const& acknowledged : acknowledged_) versions.push_back(acknowledged.version);
  return versions;
}

OperatorClient::SentChange& OperatorClient::draw() {
  SentChange change;
  change.base = newestAcknowledged();
  std::uint64_t const newest = sent_.empty() ? 0 : sent_.back().version;
  change.version = std::max(newest, change.base) + static_cast<std::uint64_t>(random_.between(1, maxVersionStep));
  change.text = configurationText(change.version, static_cast<std::uint64_t>(random_.between(0, 1 << 20)));
  sent_.push_back(std::move(change));
  return sent_.back();
}

Task<HttpAnswer> OperatorClient::put(SentChange const& change, ClusterNode& control) {
  HttpRequest request = makeRequest(http::verb::put, "/settings", control.plan.ip);
  request.set(http::field::if_match, std::to_string(change.base));
  request.set(http::field::content_type, "application/json");
  request.body() = change.text;
  HttpAnswer answer = co_await callHttp(io_, control.address(controlPort), std::move(request), orderLimit);
  if (answer.garbled) verdict_.fail("MIXED", control.plan.name + " sent bytes that aren't an HTTP response");
  if (answer.complete) verdict_.count("orders " + std::to_string(answer.status));
  co_return answer;
}

Task<bool> OperatorClient::orderEvacuation(http::verb verb, string zone, Ms limit) {
  TimePoint const until = Clock::now() + limit;
  vector<ClusterNode*> const controls = cluster_.nodesOf(NodeRole::control);
  while (Clock::now() < until) {
    ClusterNode& control = *random_.pick(controls);
    HttpRequest request = makeRequest(verb, "/evacuation/" + zone, control.plan.ip);
    Address const to = control.address(controlPort);
    HttpAnswer const answer = co_await callHttp(io_, to, std::move(request), orderLimit);
    if (answer.complete) verdict_.count("evacuation orders " + std::to_string(answer.status));
    if (answer.complete && answer.status == 200 && !random_.chance(orderAnswerLostShare)) co_return true;
    if (answer.complete && answer.status / 100 == 4)
      verdict_.fail("DENIED",
                    control.plan.name + " refused an evacuation order for " + zone + ": " + answer.describe());
    co_await sleepFor(retryPause);
  }
  co_return false;
}

/// Resends the same change to random control nodes until its outcome is clear.
Task<OperatorClient::Outcome> OperatorClient::send(SentChange& change, TimePoint until) {
  vector<ClusterNode*> const controls = cluster_.nodesOf(NodeRole::control);
  while (Clock::now() < until) {
    ClusterNode& control = *random_.pick(controls);
    HttpAnswer const answer = co_await put(change, control);
    bool const clear = answer.complete && !random_.chance(orderAnswerLostShare);
    if (clear && answer.status == 200) {
      noteAcknowledged(change, control);
      co_return Outcome::acknowledged;
    }
    // A concurrent change with a higher version makes this one invalid (400) as well as outdated (412).
    if (clear && (answer.status == 412 || answer.status == 400)) {
      change.refused = true;
      co_return Outcome::refused;
    }
    bool const denied = clear && answer.status >= 400 && answer.status < 500 && answer.status != 429;
    if (denied) verdict_.fail("CONFIG", control.plan.name + " refused a valid change: " + answer.describe());
    co_await sleepFor(retryPause);
  }
  co_return Outcome::unclear;
}

void OperatorClient::noteAcknowledged(SentChange const& change, ClusterNode& by) {
  verdict_.trace("configuration " + std::to_string(change.version) + " acknowledged by " + by.plan.name);
  acknowledged_.push_back({change.version, Clock::now()});
  acknowledgedBy_ = &by;
}

Task<bool> OperatorClient::change(TimePoint until) {
  SentChange& change = draw();
  Outcome const outcome = co_await send(change, until);
  if (outcome == Outcome::refused)
    verdict_.fail("CONFIG", "version " + std::to_string(change.version) +
                                ", based on the newest acknowledged version " + std::to_string(change.base) +
                                ", was refused");
  bool const again = outcome == Outcome::acknowledged && random_.chance(orderResentShare);
  if (again) {
    HttpAnswer const answer = co_await put(change, *random_.pick(cluster_.nodesOf(NodeRole::control)));
    bool const refused = answer.complete && answer.status >= 400 && answer.status < 500 && answer.status != 429;
    if (refused)
      verdict_.fail("CONFIG", "version " + std::to_string(change.version) +
                                  " was acknowledged but refused when sent again: " + answer.describe());
  }
  co_return outcome == Outcome::acknowledged;
}

/// Sends two concurrent changes on the same base; exactly one must be acknowledged.
Task<void> OperatorClient::race() {
  SentChange& second = draw();
  std::uint64_t const base = second.base;
  std::shared_ptr<std::optional<Outcome>> const otherOutcome = std::make_shared<std::optional<Outcome>>();
  auto const run = [](OperatorClient* self, SentChange* change,
                      std::shared_ptr<std::optional<Outcome>> end) -> Task<void> {
    *end = co_await self->send(*change, Clock::now() + unlimited);
  };
  SentChange& first = draw();
  first.base = base;
  spawnTask(io_, "rival operator", run(this, &first, otherOutcome));
  Outcome const end = co_await send(second, Clock::now() + unlimited);
  while (!otherOutcome->has_value()) co_await sleepFor(retryPause);
  bool const bothTaken = end == Outcome::acknowledged && *otherOutcome == Outcome::acknowledged;
  bool const noneTaken = end == Outcome::refused && *otherOutcome == Outcome::refused;
  string const names =
      std::to_string(second.version) + " and " + std::to_string(first.version) + " based on " + std::to_string(base);
  if (bothTaken) verdict_.fail("CONFIG", "versions " + names + " were both acknowledged");
  if (noneTaken) verdict_.fail("CONFIG", "versions " + names + " were both refused");
  verdict_.count("races");
}

Task<void> OperatorClient::runChanges(Ms pause) {
  ++callsInFlight_;
  while (!stopping_) {
    if (random_.chance(raceShare))
      co_await race();
    else
      co_await change(Clock::now() + unlimited);
    co_await sleepFor(pause);
  }
  --callsInFlight_;
}

Task<void> OperatorClient::runReads() {
  ++callsInFlight_;
  while (!stopping_) {
    co_await read(*random_.pick(cluster_.nodesOf(NodeRole::control)));
    co_await sleepFor(readPause);
  }
  --callsInFlight_;
}

Task<std::optional<std::uint64_t>> OperatorClient::read(ClusterNode& control) {
  HttpRequest request = makeRequest(http::verb::get, "/settings", control.plan.ip);
  HttpAnswer const answer = co_await callHttp(io_, control.address(controlPort), std::move(request), settingsReadLimit);
  if (!answer.complete) co_return std::nullopt;
  verdict_.count("configuration reads " + std::to_string(answer.status));
  if (answer.status != 200 && answer.status != 404) co_return std::nullopt;
  std::uint64_t const version = answer.status == 200 ? versionIn(answer.body) : 0;
  checkRead(control, answer, version);
  co_return version;
}

/// A read must not return a version older than one acknowledged `applyWithin` before, nor one that was refused or never
/// sent.
void OperatorClient::checkRead(ClusterNode const& control, HttpAnswer const& answer, std::uint64_t version) {
  std::uint64_t due = 0;
  for (Acknowledged const& acknowledged : acknowledged_)
    if (acknowledged.at + cluster_.bounds().applyWithin < answer.sentAt) due = std::max(due, acknowledged.version);
  if (version < due)
    verdict_.fail("CONFIG", control.plan.name + " returned version " + std::to_string(version) + " after " +
                                std::to_string(due) + " was acknowledged");
  if (version == 0) return;
  bool known = false;
  for (SentChange const& change : sent_) {
    if (change.version != version) continue;
    known = sameContent(change.text, answer.body);
    if (change.refused)
      verdict_.fail("CONFIG", "version " + std::to_string(version) + " is active although it was refused");
  }
  if (!known)
    verdict_.fail("CONFIG", control.plan.name + " returned a configuration that was never sent: " + answer.describe());
}

Task<ClusterNode*> OperatorClient::awaitAcknowledgement(Ms limit) {
  TimePoint const until = Clock::now() + limit;
  std::size_t const known = acknowledged_.size();
  while (acknowledged_.size() == known && Clock::now() < until) co_await sleepFor(Ms(1));
  co_return acknowledged_.size() == known ? nullptr : acknowledgedBy_;
}

}  // namespace tealshelf::soak
