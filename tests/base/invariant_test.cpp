#include "tests/invariant_plugin.hpp"

#include <CppUTest/TestHarness.h>
#include <CppUTest/TestOutput.h>

using namespace tealshelf;

TEST_GROUP(invariant){};

TEST(invariant, anInvariantThatHoldsIsNotCounted) {
  std::uint64_t const before = totalViolations();
  checkInvariant(Invariant::epochNeverFalls, true, "unused");
  LONGS_EQUAL(before, totalViolations());
}

TEST(invariant, aViolationIsCountedUnderItsName) {
  ExpectedViolations const expectedViolations;
  std::uint64_t const others = violationsOf(Invariant::recordStampRises);
  std::uint64_t const before = violationsOf(Invariant::epochNeverFalls);
  checkInvariant(Invariant::epochNeverFalls, false, "from 5 to 4");
  LONGS_EQUAL(before + 1, violationsOf(Invariant::epochNeverFalls));
  LONGS_EQUAL(others, violationsOf(Invariant::recordStampRises));
  LONGS_EQUAL(1, expectedViolations.count());
  STRCMP_EQUAL("epochNeverFalls: from 5 to 4", lastViolation().c_str());
}

TEST(invariant, aDetailIsMadeOnlyForAViolation) {
  ExpectedViolations const expectedViolations;
  int made = 0;
  auto const detail = [&made] {
    ++made;
    return std::string("made");
  };
  checkInvariant(Invariant::epochNeverFalls, true, detail);
  LONGS_EQUAL(0, made);
  checkInvariant(Invariant::epochNeverFalls, false, detail);
  LONGS_EQUAL(1, made);
}

TEST(invariant, eachHasANameOfItsOwn) {
  std::set<std::string_view> names;
  std::size_t const count = static_cast<std::size_t>(Invariant::count);
  for (std::size_t number = 0; number < count; ++number) names.insert(nameOf(static_cast<Invariant>(number)));
  LONGS_EQUAL(count, names.size());
}

/// The plugin fails a test with an unexpected violation.
TEST(invariant, aTestWithAViolationFails) {
  StringBufferTestOutput output;
  TestResult result(output);
  InvariantPlugin plugin;
  UtestShell test("group", "name", "file", 1);
  std::uint64_t const outerExpected = InvariantPlugin::expectedViolations();
  plugin.preTestAction(test, result);
  reportViolation(Invariant::epochNeverFalls, "on purpose");
  plugin.postTestAction(test, result);
  InvariantPlugin::expectedViolations() = outerExpected + 1;
  LONGS_EQUAL(1, result.getFailureCount());
}
