#pragma once
#include "base/tealshelf.hpp"

#include <unistd.h>

namespace tealshelf {

/// A loopback address of this process's own, so that groups of tests may run at once on the same ports.
inline string loopbackOfThisProcess() {
  long const process = ::getpid();
  return "127.1." + std::to_string(process / 250 % 250) + "." + std::to_string(1 + process % 250);
}

}  // namespace tealshelf
