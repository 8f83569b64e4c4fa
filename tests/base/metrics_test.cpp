#include "base/metrics.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
bool contains(string const& text, string const& line) {
  return ("\n" + text).find("\n" + line + "\n") != string::npos;
}
}  // namespace

TEST_GROUP(metrics) {
  Metrics figures;
};

TEST(metrics, rendersNamesLabelsAndValues) {
  figures.counter("teal_made_total", "What was made.", {{"kind", "lot"}}).increment(3);
  figures.gauge("teal_bytes", "Bytes.").set(2.5);
  string const text = figures.text();
  CHECK(contains(text, "# HELP teal_made_total What was made."));
  CHECK(contains(text, "# TYPE teal_made_total counter"));
  CHECK(contains(text, "teal_made_total{kind=\"lot\"} 3"));
  CHECK(contains(text, "# TYPE teal_bytes gauge"));
  CHECK(contains(text, "teal_bytes 2.5"));
}
TEST(metrics, theSameNameAndLabelsAreTheSameSeries) {
  Counter first = figures.counter("teal_made_total", "What was made.");
  Counter again = figures.counter("teal_made_total", "What was made.");
  Counter other = figures.counter("teal_made_total", "What was made.", {{"kind", "lot"}});
  first.increment();
  again.increment();
  LONGS_EQUAL(2, first.value());
  LONGS_EQUAL(0, other.value());
}
TEST(metrics, aNameStandsForOneKindOnly) {
  figures.counter("teal_made_total", "What was made.");
  CHECK_THROWS(std::invalid_argument, figures.gauge("teal_made_total", "What was made."));
}
TEST(metrics, samplersSetGaugesUntilTheirRegistrationEnds) {
  Gauge level = figures.gauge("teal_level", "The level.");
  int source = 4;
  {
    SamplerRegistration const registration = figures.sample([&] { level.setCount(source); });
    CHECK(contains(figures.text(), "teal_level 4"));
    source = 5;
    CHECK(contains(figures.text(), "teal_level 5"));
  }
  source = 6;
  CHECK(contains(figures.text(), "teal_level 5"));
}
TEST(metrics, aRegistrationMayOutliveItsMetrics) {
  SamplerRegistration registration;
  {
    Metrics brief;
    registration = brief.sample([] {});
  }
}
