#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// How many seeds a search over failures tries: 60, or what TEALSHELF_SEEDS says.
inline std::uint64_t seedCount() {
  char const* const wanted = std::getenv("TEALSHELF_SEEDS");
  return wanted ? std::strtoull(wanted, nullptr, 10) : 60;
}

}  // namespace tealshelf
