#pragma once
#include "base/invariant.hpp"
#include "base/tealshelf.hpp"

#include <CppUTest/TestHarness.h>
#include <CppUTest/TestPlugin.h>
#include <CppUTest/TestResult.h>

namespace tealshelf {

/// Fails each test in which an invariant is violated, unless the test declared the violations as expected.
class InvariantPlugin : public TestPlugin {
 public:
  InvariantPlugin() : TestPlugin("InvariantPlugin") {}

  void preTestAction(UtestShell&, TestResult&) override {
    before_ = totalViolations();
    expectedViolations() = 0;
  }

  void postTestAction(UtestShell& test, TestResult& result) override {
    std::uint64_t const violations = totalViolations() - before_;
    if (violations <= expectedViolations()) return;
    std::string const text = std::to_string(violations - expectedViolations()) +
                             " unexpected invariant violations, the last: " + lastViolation();
    result.addFailure(TestFailure(&test, SimpleString(text.c_str())));
  }

  /// Violations that the running test caused on purpose, for example by a faulty variant.
  static std::uint64_t& expectedViolations() {
    static std::uint64_t count = 0;
    return count;
  }

 private:
  std::uint64_t before_ = 0;
};

/// Marks the violations during its lifetime as expected by the test.
class ExpectedViolations {
 public:
  ExpectedViolations() : before_(totalViolations()) {}
  ExpectedViolations(ExpectedViolations const&) = delete;
  ExpectedViolations& operator=(ExpectedViolations const&) = delete;
  ~ExpectedViolations() { InvariantPlugin::expectedViolations() += count(); }
  std::uint64_t count() const { return totalViolations() - before_; }

 private:
  std::uint64_t before_;
};

}  // namespace tealshelf
