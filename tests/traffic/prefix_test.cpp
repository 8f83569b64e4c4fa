#include "apps/status_reader.hpp"
#include "traffic/prefix_report.hpp"
#include "traffic/prompt_prefix.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace tealshelf;

namespace {
PrefixPlacement placementOf(std::uint64_t key, PrefixChoice choice, string const& zone) {
  PrefixPlacement placement;
  placement.prefixKey = key;
  placement.sharedTokens = 13300;
  placement.choice = choice;
  placement.worker = "i-1";
  placement.workerZone = zone;
  placement.preferredWorker = "i-2";
  placement.preferredZone = "z2";
  return placement;
}
}  // namespace

TEST_GROUP(promptPrefix){};

TEST(promptPrefix, readsSharedPartsAndTheRequestsOwn) {
  PromptPrefix const prefix = PromptPrefix::parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  LONGS_EQUAL(1460, prefix.promptTokens);
  LONGS_EQUAL(1210, prefix.sharedTokens);
  PromptPrefix const sibling = PromptPrefix::parse("5c1e07a2:800,91bd3f06:410,ffff:9");
  CHECK_EQUAL(prefix.sharedKey, sibling.sharedKey);
  CHECK(prefix.sharedKey != PromptPrefix::parse("5c1e07a2:800,aa:410,e4402b7d:250").sharedKey);
}

TEST(promptPrefix, hugeCountsNeverOverflow) {
  PromptPrefix const prefix = PromptPrefix::parse("a:999999999999999999,b:999999999999999999,c:5");
  CHECK_EQUAL(PromptPrefix::maxTokens, prefix.promptTokens);
  CHECK_EQUAL(PromptPrefix::maxTokens, prefix.sharedTokens);
  string many;
  for (int part = 0; part < 20000; ++part) many += "a:16777216,";
  PromptPrefix const manyParts = PromptPrefix::parse(many + "b:1");
  CHECK_EQUAL(PromptPrefix::maxTokens, manyParts.promptTokens);
  CHECK(manyParts.sharedTokens <= manyParts.promptTokens);
}

TEST(promptPrefix, sharedTokensNeverExceedPromptTokens) {
  std::mt19937 random(5);
  for (int round = 0; round < 2000; ++round) {
    string header;
    for (unsigned length = random() % 40; length > 0; --length) header += "a:,19f-"[random() % 7];
    PromptPrefix const prefix = PromptPrefix::parse(header);
    CHECK_TEXT(prefix.sharedTokens <= prefix.promptTokens, header.c_str());
  }
}

TEST_GROUP(prefixReport) {
  Metrics metrics;
  PrefixReport report{metrics};
};

TEST(prefixReport, reportsChoicesPerPrefixAndZone) {
  report.record(placementOf(7, PrefixChoice::cachedRemote, "z2"), Ms(40));
  report.record(placementOf(7, PrefixChoice::cachedRemote, "z2"), Ms(40));
  report.record(placementOf(7, PrefixChoice::recomputedLocal, "z1"), Ms(150));
  string const table = prefixTable(report.json());
  CHECK(table.find(hex(7)) != string::npos);
  CHECK(table.find("150.0") != string::npos);
  string const choices = prefixChoicesTable(report.json(), hex(7));
  CHECK(choices.find("computed_here") < choices.find("carried"));
  CHECK_THROWS(Error, prefixChoicesTable(report.json(), "nothing"));
  CHECK(metrics.text().find(
            "tealshelf_edge_prefix_requests_total{choice=\"carried\",reason=\"none\",worker_zone=\"z2\"} 2") !=
        string::npos);
}

TEST(prefixReport, dropsTheLeastRecentlyUsedPrefix) {
  for (std::uint64_t key = 1; key <= PrefixReport::maxPrefixes; ++key)
    report.record(placementOf(key, PrefixChoice::cachedLocal, "z1"), Ms(1));
  report.record(placementOf(1, PrefixChoice::cachedLocal, "z1"), Ms(1));
  report.record(placementOf(5000, PrefixChoice::cachedLocal, "z1"), Ms(1));
  CHECK_EQUAL(PrefixReport::maxPrefixes, report.size());
  CHECK(prefixTable(report.json()).find(hex(5000)) != string::npos);
  CHECK_FALSE_TEXT(prefixChoicesTable(report.json(), hex(1)).empty(), "recently used");
  CHECK_THROWS(Error, prefixChoicesTable(report.json(), hex(2)));
}

TEST(prefixReport, aMalformedReportIsAnErrorAndAPartialOneIsShown) {
  CHECK_THROWS(Error, prefixTable("{"));
  CHECK_THROWS(Error, prefixTable("{}"));
  prefixTable("[1,{\"sites\":3},{\"prefix\":7,\"sites\":[{\"zone\":1}]}]");
}

TEST_GROUP(statusReader){};

TEST(statusReader, addressesAreCheckedWhole) {
  CHECK((addressArgument("127.0.0.1:80") == Address{"127.0.0.1", 80}));
  for (char const* const bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "name:80", ":80"})
    CHECK_THROWS(Error, addressArgument(bad));
}

TEST(statusReader, trafficIsSortedByBytes) {
  string const table = trafficTable(
      "tealshelf_rpc_bytes_total{direction=\"sent\",kind=\"updates\",peer_zone=\"a\"} 10\n"
      "tealshelf_rpc_bytes_total{direction=\"sent\",kind=\"heartbeat\",peer_zone=\"b\"} 1e+06\n"
      "tealshelf_rpc_messages_total{direction=\"sent\",kind=\"heartbeat\",peer_zone=\"b\"} 3\n"
      "tealshelf_rpc_bytes_total{broken\n");
  CHECK(table.find("heartbeat") < table.find("updates"));
  CHECK(table.find("1000000") != string::npos);
}
