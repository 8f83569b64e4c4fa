#include "tools/soak/tally_client.hpp"

#include <rapidjson/document.h>

namespace tealshelf::soak {

namespace {
constexpr Ms callLimit{1000}, betweenCalls{60}, betweenTries{30}, betweenChecks{150};
constexpr double readShare = 0.3, remoteZoneShare = 0.1, answerLostShare = 0.1;
constexpr int maxAdditionTries = 8, tallyCount = 5, maxChange = 9;
}  // namespace

ClusterNode& TallyClient::drawControl(string const& zone) {
  vector<ClusterNode*> const all = cluster_.nodesOf(NodeRole::control);
  vector<ClusterNode*> inZone;
  for (ClusterNode* const control : all)
    if (control->plan.zone == zone) inZone.push_back(control);
  bool const staysInZone = !inZone.empty() && !random_.chance(remoteZoneShare);
  return *random_.pick(staysInZone ? inZone : all);
}

Task<void> TallyClient::runInZone(string zone) {
  ++callsInFlight_;
  while (!stopping_) {
    if (random_.chance(readShare))
      co_await readOnce(zone);
    else
      co_await addOnce(zone);
    co_await sleepFor(betweenCalls);
  }
  --callsInFlight_;
}

Task<void> TallyClient::addOnce(string zone) {
  Addition& addition = additions_.emplace_back();
  addition.tally = "t" + std::to_string(random_.between(1, tallyCount));
  addition.id = hex(randomId());
  addition.change = random_.between(1, maxChange);
  tallies_.insert(addition.tally);
  bool isAnswered = false;
  for (int tries = 0; tries < maxAdditionTries && !isAnswered; ++tries) {
    ClusterNode& control = drawControl(zone);
    int const incarnation = control.incarnation;
    bool const mightHaveCounted = addition.mayCount;
    addition.mayCount = true;
    HttpAnswer const answer = co_await post(addition, control);
    if (answer.complete) verdict_.count("additions " + std::to_string(answer.status));
    if (answer.complete && isNotRunStatus(answer.status)) addition.mayCount = mightHaveCounted;
    if (answer.complete && answer.status / 100 == 4)
      verdict_.fail("DENIED", control.plan.name + " refused a valid addition: " + answer.describe());
    if (answer.complete && answer.status == 200) {
      if (!addition.acknowledged)
        addition.acknowledged = Acknowledgement{&control, incarnation, Clock::now(), isReplicationDoubtful()};
      isAnswered = !random_.chance(answerLostShare);
    }
    if (!isAnswered) co_await sleepFor(betweenTries);
  }
}

Task<HttpAnswer> TallyClient::post(Addition const& addition, ClusterNode& control) {
  HttpRequest request = makeRequest(http::verb::post, "/tallies/" + addition.tally, control.plan.ip);
  request.set(http::field::content_type, "application/json");
  request.body() = R"({"serverId":")" + addition.id + R"(","changedBy":)" + std::to_string(addition.change) + "}";
  Address const to = control.address(controlPort);
  HttpAnswer answer = co_await callHttp(io_, to, std::move(request), callLimit);
  if (answer.garbled) verdict_.fail("MIXED", control.plan.name + " sent bytes that aren't an HTTP response");
  co_return answer;
}

Task<std::optional<std::int64_t>> TallyClient::read(ClusterNode& control, string tally) {
  HttpRequest request = makeRequest(http::verb::get, "/tallies/" + tally, control.plan.ip);
  Address const to = control.address(controlPort);
  HttpAnswer const answer = co_await callHttp(io_, to, std::move(request), callLimit);
  if (!answer.complete || answer.status != 200) co_return std::nullopt;
  verdict_.count("tally reads");
  rapidjson::Document document;
  document.Parse(answer.body.data(), answer.body.size());
  bool const isValid =
      !document.HasParseError() && document.IsObject() && document.HasMember("total") && document["total"].IsInt64();
  if (!isValid) {
    verdict_.fail("MIXED", control.plan.name + " returned no valid total: " + answer.describe());
    co_return std::nullopt;
  }
  co_return document["total"].GetInt64();
}

Task<void> TallyClient::readOnce(string zone) {
  ClusterNode& control = drawControl(zone);
  string const tally = "t" + std::to_string(random_.between(1, tallyCount));
  int const incarnation = control.incarnation;
  std::int64_t const least = acknowledgedTotalBy(control, tally);
  std::optional<std::int64_t> const total = co_await read(control, tally);
  if (!total) co_return;
  string const returned = control.plan.name + " returned total " + std::to_string(*total) + " of " + tally;
  if (*total > maxTotalOf(tally))
    verdict_.fail("TWICE", returned + ", but additions of at most " + std::to_string(maxTotalOf(tally)) + " were sent");
  if (control.incarnation == incarnation && *total < least)
    verdict_.fail("STALE", returned + ", but itself acknowledged additions of " + std::to_string(least));
}

std::int64_t TallyClient::maxTotalOf(string const& tally) const {
  std::int64_t sum = 0;
  for (Addition const& addition : additions_)
    if (addition.tally == tally && addition.mayCount) sum += addition.change;
  return sum;
}

std::int64_t TallyClient::acknowledgedTotalBy(ClusterNode const& control, string const& tally) const {
  std::int64_t sum = 0;
  for (Addition const& addition : additions_) {
    if (addition.tally != tally || !addition.acknowledged) continue;
    bool const isSameProcess =
        addition.acknowledged->by == &control && addition.acknowledged->incarnation == control.incarnation;
    if (isSameProcess) sum += addition.change;
  }
  return sum;
}

/// Sum of the acknowledged additions, except those that may have been stored on a single disk that was then lost.
std::int64_t TallyClient::guaranteedTotalOf(string const& tally) const {
  std::int64_t sum = 0;
  for (Addition const& addition : additions_) {
    if (addition.tally != tally || !addition.acknowledged) continue;
    Acknowledgement const& by = *addition.acknowledged;
    bool const mayBeLost = by.mayBeUnderReplicated && by.by->diskWipedAt > by.at;
    if (!mayBeLost) sum += addition.change;
  }
  return sum;
}

bool TallyClient::isReplicationDoubtful() const {
  if (!cluster_.networkFaults().empty()) return true;
  TimePoint const now = Clock::now();
  std::size_t reachable = 0;
  vector<ClusterNode*> const controls = cluster_.nodesOf(NodeRole::control);
  for (ClusterNode const* const control : controls)
    if (!cluster_.hadOutage(*control, now - cluster_.bounds().inTouch, now)) ++reachable;
  return reachable <= controls.size() / 2;
}

Task<string> TallyClient::describeMismatch(string tally) {
  std::optional<std::int64_t> first;
  for (ClusterNode* const control : cluster_.nodesOf(NodeRole::control)) {
    std::optional<std::int64_t> const total = co_await read(*control, tally);
    if (!total) co_return control->plan.name + " returned no total of " + tally;
    string const returned = control->plan.name + " returned total " + std::to_string(*total) + " of " + tally;
    if (*total < guaranteedTotalOf(tally))
      co_return returned + ", but additions of " + std::to_string(guaranteedTotalOf(tally)) + " were acknowledged";
    if (*total > maxTotalOf(tally))
      co_return returned + ", but additions of at most " + std::to_string(maxTotalOf(tally)) + " were sent";
    if (first && *first != *total) co_return returned + ", but another node returned " + std::to_string(*first);
    first = total;
  }
  co_return "";
}

Task<void> TallyClient::checkAtEnd(TimePoint until) {
  for (string const& tally : tallies_) {
    string mismatch = co_await describeMismatch(tally);
    while (!mismatch.empty() && Clock::now() < until) {
      co_await sleepFor(betweenChecks);
      mismatch = co_await describeMismatch(tally);
    }
    if (!mismatch.empty()) verdict_.fail("LOST", "at the end " + mismatch);
  }
}

string TallyClient::pretendAcknowledged() {
  Addition& addition = additions_.emplace_back();
  addition.tally = "pretended";
  addition.id = hex(randomId());
  addition.change = 1;
  addition.mayCount = true;
  addition.acknowledged = Acknowledgement{cluster_.nodesOf(NodeRole::control).front(), 0, Clock::now(), false};
  tallies_.insert(addition.tally);
  return addition.tally;
}

}  // namespace tealshelf::soak
