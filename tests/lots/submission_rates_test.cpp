#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int overRate = static_cast<int>(ErrorCode::rateExceeded);
constexpr char const* limitedTenant = "limited";

Tenant tenantOf(double ratePerSecond, double burst) {
  Tenant tenant;
  tenant.name = limitedTenant;
  tenant.ratePerSecond = ratePerSecond;
  tenant.burst = burst;
  return tenant;
}
string settingsText() {
  return "{\"version\":1,\"routes\":[{\"name\":\"night\",\"host\":\"" + StoreFleet::host() +
         "\",\"pathStart\":\"/night/\",\"kind\":\"bulk\",\"timeLimitMs\":9000,\"targetMs\":500,\"priority\":2,"
         "\"service\":\"app\",\"tries\":3,\"dueInMs\":300,\"keepForS\":60,\"maxQueuedTokens\":0}],\"services\":[{"
         "\"name\":\"app\",\"healthPath\":\"/h\",\"maxConnections\":100,\"protocol\":\"h1\",\"useTls\":false}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerWaitMs\":3000,\"idleLimitMs\":15000},"
         "\"customers\":[{\"name\":\"limited\",\"apiKeys\":[\"a\"],\"ratePerS\":0.01,\"burst\":3},{\"name\":\"free\","
         "\"apiKeys\":[\"b\"]}]}";
}
ForwardedCall changeOf(string body) {
  ForwardedCall call;
  call.verb = "PUT";
  call.path = "/settings";
  call.ifMatch = "0";
  call.body = std::move(body);
  call.budgetMs = 1000;
  return call;
}
}  // namespace

/// Lots are limited by the rate of their tenant, which its other requests don't use up.
TEST_GROUP(submissionRates){};

TEST(submissionRates, aTenantMayUseItsBurstAndThenItsRate) {
  SubmissionRates rates;
  TimePoint const start = TimePoint() + std::chrono::hours(1);
  Tenant const tenant = tenantOf(2, 3);
  for (int lot = 0; lot < 5; ++lot) CHECK(rates.take(tenant, start));
  CHECK(!rates.take(tenant, start));
  CHECK(!rates.take(tenant, start + Ms(400)));
  CHECK(rates.take(tenant, start + Ms(600)));
  CHECK(!rates.take(tenant, start + Ms(700)));
  // What isn't used adds up to the depth only.
  for (int lot = 0; lot < 5; ++lot) CHECK(rates.take(tenant, start + std::chrono::hours(1)));
  CHECK(!rates.take(tenant, start + std::chrono::hours(1)));
}
TEST(submissionRates, aTenantWithoutALimitIsNotCounted) {
  SubmissionRates rates;
  Tenant const tenant = tenantOf(0, 0);
  for (int lot = 0; lot < 1000; ++lot) CHECK(rates.take(tenant, TimePoint() + std::chrono::hours(1)));
}
// Guards against a flood of lots by one tenant, by which the lots of others are accepted late or not at all.
TEST(submissionRates, lotsOverTheRateAreRefused) {
  StoreFleet fleet("/tmp/tealshelf-submission-rates", 3, 1, 17620);
  CHECK(fleet.runUntil(
      [&fleet] {
        std::pair<int, CallReply> const reply = fleet.ask(fleet.controlAddress(), changeOf(settingsText()));
        return reply.first == 0 && reply.second.status == 200;
      },
      Ms(20000)));
  CHECK(fleet.runUntil([&fleet] { return fleet.submitFor("free", "lot-0", 100, 0) == 0; }, Ms(20000)));
  for (int lot = 1; lot <= 3; ++lot)
    LONGS_EQUAL(0, fleet.submitFor(limitedTenant, "lot-" + std::to_string(lot), 100, 0));
  for (int lot = 4; lot < 30; ++lot)
    LONGS_EQUAL(overRate, fleet.submitFor(limitedTenant, "lot-" + std::to_string(lot), 100, 0));
  // A 429 promises that the lot doesn't run, so a lot that was accepted is acknowledged again.
  LONGS_EQUAL(0, fleet.submitFor(limitedTenant, "lot-2", 100, 0));
  LONGS_EQUAL(0, fleet.submitFor("free", "lot-30", 100, 0));
}
