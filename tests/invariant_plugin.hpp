#pragma once
#include "base/invariant.hpp"
#include "base/tealshelf.hpp"

#include <CppUTest/TestHarness.h>
#include <CppUTest/TestPlugin.h>
#include <CppUTest/TestResult.h>

namespace tealshelf {

/// Fails each test in which an invariant is violated, unless the test took the violations as ones that it provoked.
class InvariantPlugin : public TestPlugin {
 public:
  InvariantPlugin() : TestPlugin("InvariantPlugin") {}

  void preTestAction(UtestShell&, TestResult&) override {
    before_ = totalViolations();
    provoked() = 0;
  }

  void postTestAction(UtestShell& test, TestResult& result) override {
    std::uint64_t const violations = totalViolations() - before_;
    if (violations <= provoked()) return;
    std::string const text = std::to_string(violations - provoked()) + " violated invariants; " + lastViolation();
    result.addFailure(TestFailure(&test, SimpleString(text.c_str())));
  }

  /// Violations that the running test brought about on purpose, by a broken variant.
  static std::uint64_t& provoked() {
    static std::uint64_t count = 0;
    return count;
  }

 private:
  std::uint64_t before_ = 0;
};

/// Takes the violations within its life as provoked by the test, which breaks something on purpose.
class ExpectedViolations {
 public:
  ExpectedViolations() : before_(totalViolations()) {}
  ExpectedViolations(ExpectedViolations const&) = delete;
  ExpectedViolations& operator=(ExpectedViolations const&) = delete;
  ~ExpectedViolations() { InvariantPlugin::provoked() += count(); }
  std::uint64_t count() const { return totalViolations() - before_; }

 private:
  std::uint64_t before_;
};

}  // namespace tealshelf
