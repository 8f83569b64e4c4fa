#include "configuration/configuration.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string route(string const& name, string const& more, string const& prefix = "/a/") {
  return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathStart\":\"" + prefix + "\",\"kind\":\"repeatable\"," +
         more + "}";
}
string configuration(string const& routes, string const& version = "7") {
  return "{\"version\":" + version + ",\"routes\":[" + routes +
         "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/"
         "health\",\"maxConnections\":220},{\"name\":\"t\"}],\"limits\":{\"maxBodyBytes\":4096}}";
}
string const fine = "\"timeLimitMs\":1000,\"targetMs\":100,\"service\":\"s\",\"tries\":2";
int firstFault(string const& text) {
  vector<ConfigurationFault> f;
  readConfiguration(text, f);
  return f.empty() ? 0 : static_cast<int>(f[0].code);
}
}  // namespace

TEST_GROUP(configuration){};

TEST(configuration, longestPrefixWins) {
  std::shared_ptr<Configuration const> const c =
      compileConfiguration(configuration(route("one", fine, "/a/") + "," + route("two", fine, "/a/b/")));
  STRCMP_EQUAL("two", c->findRoute("h.example", "/a/b/x?q=/a/")->name.c_str());
  STRCMP_EQUAL("one", c->findRoute("h.example", "/a/bx")->name.c_str());
  POINTERS_EQUAL(nullptr, c->findRoute("h.example", "/ab/"));
  POINTERS_EQUAL(nullptr, c->findRoute("other.example", "/a/"));
  LONGS_EQUAL(4096, c->limits.maxBodyBytes);
}
TEST(configuration, everyFaultHasItsErrorCode) {
  LONGS_EQUAL(0, firstFault(configuration(route("r", fine))));
  LONGS_EQUAL(100, firstFault(configuration(route("r", fine)).substr(0, 80)));
  LONGS_EQUAL(100, firstFault(configuration(route("r", fine)) + "x"));
  LONGS_EQUAL(100, firstFault("[]"));
  LONGS_EQUAL(101, firstFault(configuration(route("r", "\"timeLimitMs\":1000,\"service\":\"nobody\""))));
  LONGS_EQUAL(102, firstFault(configuration(route("r", fine) + "," + route("q", fine))));
  LONGS_EQUAL(103,
              firstFault(configuration(route("r", "\"timeLimitMs\":1,\"split\":[{\"service\":\"s\",\"share\":0}]"))));
  LONGS_EQUAL(104, firstFault(configuration(route("r", "\"timeLimitMs\":0,\"service\":\"s\""))));
  LONGS_EQUAL(106, firstFault(configuration(route("r", "\"timeLimitMs\":\"soon\",\"service\":\"s\""))));
  LONGS_EQUAL(107, firstFault(configuration(route("r", "\"timeLimitMs\":-5,\"service\":\"s\""))));
  LONGS_EQUAL(107, firstFault(configuration(route("r", "\"timeLimitMs\":1e300,\"service\":\"s\""))));
  LONGS_EQUAL(108, firstFault(configuration(route("r", fine, "/a"))));
}
TEST(configuration, scalingIsReadAndAnEmptyRangeIsUnusable) {
  auto const scalingOf = [](string const& scaling) {
    string text = configuration(route("r", fine));
    string const service = "{\"name\":\"t\"}";
    text.replace(text.find(service), service.size(), "{\"name\":\"t\",\"scaling\":" + scaling + "}");
    vector<ConfigurationFault> faults;
    std::shared_ptr<Configuration const> const read = readConfiguration(text, faults);
    return faults.empty() ? read->services.at("t").scaling : std::nullopt;
  };
  std::optional<ServiceScaling> const scaling = scalingOf("{\"lowest\":18,\"highest\":44,\"startTimeS\":4.5}");
  CHECK(scaling && scaling->isUsable());
  LONGS_EQUAL(18, scaling->lowest);
  LONGS_EQUAL(44, scaling->highest);
  LONGS_EQUAL(4500, scaling->startTime.count());
  CHECK(!scalingOf("{\"lowest\":9,\"highest\":3}")->isUsable());
  CHECK(!scalingOf("{}"));
  CHECK(!scalingOf("{\"lowest\":-1}"));
}
TEST(configuration, sharesFollowTheWeights) {
  std::shared_ptr<Configuration const> const c = compileConfiguration(configuration(
      route("r", "\"timeLimitMs\":5,\"split\":[{\"service\":\"s\",\"share\":90},{\"service\":\"t\",\"share\":10}]")));
  int s = 0;
  for (int i = 0; i < 10000; ++i) s += c->routes[0].serviceFor(hash64(std::to_string(i))) == "s";
  CHECK(s > 8800 && s < 9200);
}

namespace {
string withTenants(string const& customers) {
  string const text = configuration(route("r", fine));
  return text.substr(0, text.size() - 1) + ",\"customers\":" + customers + "}";
}
}  // namespace

TEST_GROUP(tenants){};

TEST(tenants, areFoundByTheirKeys) {
  std::shared_ptr<Configuration const> const c = compileConfiguration(
      withTenants("[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,\"ratePerS\":119,\"burst\":7.5},"
                  "{\"name\":\"b\",\"apiKeys\":[\"k3\"]},{\"name\":\"c\"}]"));
  CHECK(c->needsKeys);
  STRCMP_EQUAL("a", c->findTenantByKey("k2")->name.c_str());
  STRCMP_EQUAL("b", c->findTenantByKey("k3")->name.c_str());
  for (char const* const key : {"k4", "", "k", "k33", "a"}) POINTERS_EQUAL(nullptr, c->findTenantByKey(key));
  Tenant const* const a = c->findTenant("a");
  LONGS_EQUAL(1, *a->priority);
  DOUBLES_EQUAL(119, a->ratePerSecond, 0);
  DOUBLES_EQUAL(7.5, a->burst, 0);
  CHECK(a->isLimited());
  CHECK_FALSE(c->findTenant("b")->isLimited());
  CHECK_FALSE(c->findTenant("b")->priority.has_value());
}
TEST(tenants, anEmptyListNeedsKeysToo) {
  CHECK(compileConfiguration(withTenants("[]"))->needsKeys);
  CHECK_FALSE(compileConfiguration(configuration(route("r", fine)))->needsKeys);
}
TEST(tenants, everyFaultHasItsErrorCode) {
  LONGS_EQUAL(113,
              firstFault(withTenants("[{\"name\":\"a\",\"apiKeys\":[\"k\"]},{\"name\":\"b\",\"apiKeys\":[\"k\"]}]")));
  LONGS_EQUAL(0, firstFault(withTenants("[{\"name\":\"a\",\"apiKeys\":[\"k\",\"k\"]}]")));
  LONGS_EQUAL(114, firstFault(withTenants("[{\"name\":\"a\",\"apiKeys\":[\"\"]}]")));
  LONGS_EQUAL(114, firstFault(withTenants("[{\"name\":\"a\",\"apiKeys\":[\"two words\"]}]")));
  LONGS_EQUAL(115, firstFault(withTenants("[{\"name\":\"\"}]")));
  LONGS_EQUAL(115, firstFault(withTenants("[{\"name\":\"a\"},{\"name\":\"a\"}]")));
  LONGS_EQUAL(115, firstFault(withTenants("[{\"name\":\"a b\"}]")));
  LONGS_EQUAL(106, firstFault(withTenants("\"none\"")));
  LONGS_EQUAL(106, firstFault(withTenants("[{\"name\":\"a\",\"apiKeys\":\"k\"}]")));
  LONGS_EQUAL(107, firstFault(withTenants("[{\"name\":\"a\",\"ratePerS\":-1}]")));
  LONGS_EQUAL(107, firstFault(withTenants("[{\"name\":\"a\",\"burst\":1e300}]")));
  LONGS_EQUAL(106, firstFault(withTenants("[{\"name\":\"a\",\"ratePerS\":\"fast\"}]")));
}
TEST(tenants, faultsDoNotNameKeys) {
  vector<ConfigurationFault> faults;
  readConfiguration(withTenants("[{\"name\":\"a\",\"apiKeys\":[\"secret words\",\"planted\"]},"
                                "{\"name\":\"b\",\"apiKeys\":[\"planted\"]}]"),
                    faults);
  LONGS_EQUAL(2, faults.size());
  for (ConfigurationFault const& fault : faults)
    for (char const* const secret : {"secret", "planted"}) CHECK(fault.text.find(secret) == string::npos);
}
TEST(tenants, fingerprintsDistinguishKeysWithoutRevealingThem) {
  std::map<string, std::set<string>> const keys =
      keyFingerprints(withTenants("[{\"name\":\"a\",\"apiKeys\":[\"planted1\",\"planted2\"]}]"));
  LONGS_EQUAL(2, keys.at("a").size());
  for (string const& fingerprint : keys.at("a")) {
    LONGS_EQUAL(8, fingerprint.size());
    CHECK(fingerprint.find("plan") == string::npos);
  }
  LONGS_EQUAL(0, keyFingerprints("no JSON").size());
}
