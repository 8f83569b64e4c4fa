#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// Number of seeds that a randomized failure test runs: TEALSHELF_SEEDS if set, otherwise `defaultCount`.
inline std::uint64_t seedCount(std::uint64_t defaultCount = 60) {
  char const* const value = std::getenv("TEALSHELF_SEEDS");
  return value ? std::strtoull(value, nullptr, 10) : defaultCount;
}

/// The only seed to run, with its events printed, if TEALSHELF_ONLY_SEED is set.
inline std::optional<std::uint64_t> onlySeed() {
  char const* const value = std::getenv("TEALSHELF_ONLY_SEED");
  return value ? std::optional<std::uint64_t>(std::strtoull(value, nullptr, 10)) : std::nullopt;
}

}  // namespace tealshelf
