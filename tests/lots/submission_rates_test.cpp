#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int overRate = static_cast<int>(ErrorCode::rateExceeded);
constexpr char const* limitedTenant = "limited";

/// A window of a second without a margin.
Bounds shortWindow() {
  Bounds bounds;
  bounds.quotaWindow = Ms(1000);
  bounds.quotaMargin = 0;
  return bounds;
}
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
  Bounds const bounds = shortWindow();
  SubmissionRates rates(bounds);
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
  Bounds const bounds = shortWindow();
  SubmissionRates rates(bounds);
  Tenant const tenant = tenantOf(0, 0);
  for (int lot = 0; lot < 1000; ++lot) CHECK(rates.take(tenant, TimePoint() + std::chrono::hours(1)));
}
// Guards against a tenant with a low rate that can never submit a lot.
TEST(submissionRates, aTenantOfALowRateMaySubmitLots) {
  Bounds const bounds = shortWindow();
  SubmissionRates rates(bounds);
  TimePoint const start = TimePoint() + std::chrono::hours(1);
  Tenant const tenant = tenantOf(0.1, 0);
  CHECK(rates.take(tenant, start));
  CHECK(!rates.take(tenant, start + Ms(5000)));
  CHECK(rates.take(tenant, start + Ms(11000)));
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
  // The burst of the tenant and the margin of the rule; its rate adds less than a lot.
  int const allowed = 3 + static_cast<int>(Bounds().quotaMargin);
  for (int lot = 1; lot <= allowed; ++lot)
    LONGS_EQUAL(0, fleet.submitFor(limitedTenant, "lot-" + std::to_string(lot), 100, 0));
  for (int lot = allowed + 1; lot < allowed + 27; ++lot)
    LONGS_EQUAL(overRate, fleet.submitFor(limitedTenant, "lot-" + std::to_string(lot), 100, 0));
  // A 429 promises that the lot doesn't run, so a lot that was accepted is acknowledged again.
  LONGS_EQUAL(0, fleet.submitFor(limitedTenant, "lot-2", 100, 0));
  LONGS_EQUAL(0, fleet.submitFor("free", "lot-last", 100, 0));
}
