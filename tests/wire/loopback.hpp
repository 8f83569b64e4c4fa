#pragma once
#include "base/tealshelf.hpp"

#include <unistd.h>

namespace tealshelf {

/// A loopback address derived from the process id, so that test processes can run in parallel on the same ports.
inline string loopbackOfThisProcess() {
  long const processId = ::getpid();
  return "127.1." + std::to_string(processId / 250 % 250) + "." + std::to_string(1 + processId % 250);
}

}  // namespace tealshelf
