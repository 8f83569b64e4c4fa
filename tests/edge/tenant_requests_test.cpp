#include "tests/edge/kept_client.hpp"

#include <CppUTest/TestHarness.h>
#include <iostream>
#include <sstream>

using namespace tealshelf;

namespace {
string const answer = answerText(200, "$ID", "Server-Seal: s\r\n", "own $ID");
Script const answersTenants{"", true, answer, Script::End::keep, ""};
Script const refuses{"", true, answerText(503, "$ID", "Not-Run: 1\r\n", ""), Script::End::keep, ""};
string const firstKey = "planted0key1planted2", secondKey = "second0key1second2", thirdKey = "third0key1third2";
/// A limited tenant, and one without a limit.
string const twoTenants = "[{\"name\":\"lantern\",\"apiKeys\":[\"" + firstKey + "\",\"" + secondKey +
                          "\"],\"ratePerS\":50,\"burst\":5},{\"name\":\"ferry\",\"apiKeys\":[\"" + thirdKey + "\"]}]";
/// The limited tenant after the removal of a key; the other one is removed.
string const secondKeyOnly = "[{\"name\":\"lantern\",\"apiKeys\":[\"" + secondKey + "\"],\"ratePerS\":50,\"burst\":5}]";

string bearer(string const& key) {
  return "Authorization: Bearer " + key + "\r\n";
}

/// An edge node with two tenants and a client with a persistent connection.
struct TenantRig {
  explicit TenantRig(Script const& script = answersTenants) : rig(script) {
    CHECK(rig.prime());
    rig.changeTenants(twoTenants);
    client.emplace(rig);
  }
  Got send(string const& headers, string const& path = "/once/x") {
    CHECK(client->send(requestText("POST", path, "id1", "b", headers)));
    return client->answer();
  }
  int status(string const& headers, string const& path = "/once/x") { return send(headers, path).status; }
  /// The values of a header in the last requests at all workers, joined.
  string atWorker(string const& name) const {
    string values;
    for (StandIn const& worker : rig.workers) {
      auto const [first, end] = worker.lastHead.equal_range(name);
      for (auto header = first; header != end; ++header)
        values += string(header->value().data(), header->value().size()) + ";";
    }
    return values;
  }
  EdgeRig rig;
  std::optional<KeptClient> client;
};
}  // namespace

/// A client is identified by its key alone, anew on each request; and the key is not forwarded.
TEST_GROUP(tenantRequests){};

TEST(tenantRequests, workersReceiveTheTenantAndNotTheKey) {
  TenantRig rig;
  LONGS_EQUAL(200, rig.status(bearer(firstKey) + "Customer: someone\r\nCustomer: else\r\n"));
  STRCMP_EQUAL("lantern;", rig.atWorker("Customer").c_str());
  STRCMP_EQUAL("", rig.atWorker("Authorization").c_str());
}
TEST(tenantRequests, requestsWithoutAKnownKeyDoNotRun) {
  TenantRig rig;
  for (string const& headers :
       {string(), bearer("unknown"), bearer(""), "Authorization: Basic " + firstKey + "\r\n",
        "Authorization: " + firstKey + "\r\n", bearer(firstKey) + bearer(firstKey), bearer(firstKey + "x"),
        bearer(firstKey.substr(1)), bearer(firstKey + " " + firstKey), string("Customer: lantern\r\n")})
    LONGS_EQUAL(401, rig.status(headers));
  LONGS_EQUAL(0, rig.rig.sends());
  LONGS_EQUAL(404, rig.status(bearer("unknown"), "/nowhere/x"));
}
TEST(tenantRequests, theSchemeIsReadInAnyCase) {
  TenantRig rig;
  LONGS_EQUAL(200, rig.status("AUTHORIZATION: bearer   " + firstKey + "  \r\n"));
}
TEST(tenantRequests, aVeryLongUnknownKeyIsRefused) {
  TenantRig rig;
  LONGS_EQUAL(401, rig.status(bearer(string(8000, 'k'))));
}
TEST(tenantRequests, aRemovedKeyIsRefusedOnOpenConnections) {
  TenantRig rig;
  LONGS_EQUAL(200, rig.status(bearer(firstKey)));
  rig.rig.changeTenants(secondKeyOnly);
  LONGS_EQUAL(401, rig.status(bearer(firstKey)));
  LONGS_EQUAL(401, rig.status(bearer(thirdKey)));
  LONGS_EQUAL(200, rig.status(bearer(secondKey)));
}
TEST(tenantRequests, publicRoutesNeedNoKey) {
  TenantRig rig;
  LONGS_EQUAL(200, rig.status("Customer: lantern\r\n" + bearer("unknown"), "/again/prime"));
  STRCMP_EQUAL("", rig.atWorker("Customer").c_str());
  STRCMP_EQUAL("", rig.atWorker("Authorization").c_str());
  LONGS_EQUAL(200, rig.status(bearer(thirdKey), "/again/prime"));
  STRCMP_EQUAL("ferry;", rig.atWorker("Customer").c_str());
}
TEST(tenantRequests, withoutTenantsTheHeadersAreForwarded) {
  TenantRig rig;
  rig.rig.changeTenants("");
  LONGS_EQUAL(200, rig.status(bearer("anything") + "Customer: own\r\n"));
  STRCMP_EQUAL("own;", rig.atWorker("Customer").c_str());
  STRCMP_EQUAL("Bearer anything;", rig.atWorker("Authorization").c_str());
}

/// Requests of tenants with a limit are counted before they reach a worker.
TEST_GROUP(tenantLimits){};

TEST(tenantLimits, eachRequestIsCounted) {
  TenantRig rig;
  LONGS_EQUAL(200, rig.status(bearer(firstKey)));
  LONGS_EQUAL(200, rig.status(bearer(secondKey)));
  LONGS_EQUAL(2, rig.rig.creditsAsked);
  LONGS_EQUAL(200, rig.status(bearer(thirdKey)));
  LONGS_EQUAL(2, rig.rig.creditsAsked);
}
TEST(tenantLimits, requestsOverTheLimitGet429AndDoNotRun) {
  TenantRig rig;
  rig.rig.creditVerdict = CreditVerdict::exhausted;
  Got const got = rig.send(bearer(firstKey));
  LONGS_EQUAL(429, got.status);
  CHECK(got.raw.find("Retry-After") != string::npos);
  LONGS_EQUAL(0, rig.rig.sends());
  // The shard replied when credits will be available again; until then it isn't asked.
  LONGS_EQUAL(429, rig.status(bearer(firstKey)));
  LONGS_EQUAL(1, rig.rig.creditsAsked);
  rig.rig.creditVerdict = CreditVerdict::granted;
  rig.rig.run(Ms(120));
  LONGS_EQUAL(200, rig.status(bearer(firstKey)));
}
TEST(tenantLimits, requestsDoNotRunIfNoShardCounts) {
  TenantRig rig;
  rig.rig.creditVerdict = CreditVerdict::notCounting;
  LONGS_EQUAL(503, rig.status(bearer(firstKey)));
  LONGS_EQUAL(200, rig.status(bearer(thirdKey)));
  LONGS_EQUAL(1, rig.rig.sends());
}
TEST(tenantLimits, aSilentShardDelaysARequestByAPartOfItsTarget) {
  TenantRig rig;
  rig.rig.creditDelay = Ms(500);
  TimePoint const sentAt = Clock::now();
  LONGS_EQUAL(503, rig.status(bearer(firstKey)));
  CHECK(Clock::now() - sentAt < Ms(200));
  LONGS_EQUAL(0, rig.rig.sends());
}
TEST(tenantLimits, theCreditOfARefusedRequestIsReused) {
  TenantRig rig(refuses);
  LONGS_EQUAL(503, rig.status(bearer(firstKey)));
  LONGS_EQUAL(1, rig.rig.creditsAsked);
  LONGS_EQUAL(503, rig.status(bearer(firstKey)));
  LONGS_EQUAL(1, rig.rig.creditsAsked);
}

/// API keys are secrets.
TEST_GROUP(tenantKeys){};

TEST(tenantKeys, neverAppearInLogsMetricsOrErrors) {
  std::ostringstream written;
  std::streambuf* const original = std::cerr.rdbuf(written.rdbuf());
  initLogging(LogLevel::debug);
  string answers;
  {
    TenantRig rig;
    answers += rig.send(bearer(firstKey)).raw;
    answers += rig.send(bearer(firstKey + "x")).raw;
    answers += rig.send(bearer(firstKey) + bearer(firstKey)).raw;
    rig.rig.creditVerdict = CreditVerdict::exhausted;
    answers += rig.send(bearer(firstKey)).raw;
    rig.rig.changeTenants(secondKeyOnly);
    answers += rig.send(bearer(firstKey)).raw;
  }
  initLogging(LogLevel::error);
  std::cerr.rdbuf(original);
  string const log = written.str();
  CHECK(!answers.empty());
  CHECK(!log.empty());
  for (string const& text : {answers, log, metrics().text()}) CHECK(text.find(firstKey) == string::npos);
}
