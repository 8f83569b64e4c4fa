#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// A worker's load as it reports it.
struct WorkerLoad {
  std::uint64_t running = 0, waiting = 0, slots = 0;
};

/// Parses the header Server-Load, RUNNING,WAITING,SLOTS; std::nullopt if it is malformed.
inline std::optional<WorkerLoad> parseWorkerLoad(string_view header) {
  vector<string> const parts = split(header, ',');
  if (parts.size() != 3) return std::nullopt;
  std::optional<std::uint64_t> const running = parseNumber(parts[0]);
  std::optional<std::uint64_t> const waiting = parseNumber(parts[1]);
  std::optional<std::uint64_t> const slots = parseNumber(parts[2]);
  if (!running || !waiting || !slots) return std::nullopt;
  return WorkerLoad{*running, *waiting, *slots};
}

}  // namespace tealshelf
