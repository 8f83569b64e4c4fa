#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// How many seeds a search over failures tries: what TEALSHELF_SEEDS says, or else so many.
inline std::uint64_t seedCount(std::uint64_t defaultCount = 60) {
  char const* const wanted = std::getenv("TEALSHELF_SEEDS");
  return wanted ? std::strtoull(wanted, nullptr, 10) : defaultCount;
}

/// The one seed to be played, with what happens told, if TEALSHELF_ONLY_SEED names one.
inline std::optional<std::uint64_t> onlySeed() {
  char const* const wanted = std::getenv("TEALSHELF_ONLY_SEED");
  return wanted ? std::optional<std::uint64_t>(std::strtoull(wanted, nullptr, 10)) : std::nullopt;
}

}  // namespace tealshelf
