#include "base/tealshelf.hpp"
#include "tests/invariant_plugin.hpp"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv) {
  tealshelf::initLogging(tealshelf::LogLevel::error);
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  tealshelf::InvariantPlugin invariants;
  TestRegistry::getCurrentRegistry()->installPlugin(&invariants);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
