#pragma once
#include "base/metrics.hpp"
#include "traffic/prefix_placement.hpp"

#include <list>

namespace tealshelf {

/// Where an edge serves its report.
constexpr string_view prefixesPath = "/prefixes";

/// What this node chose for each long shared prefix and what came of it, for `tealshelf-control-plane prefixes`.
///
/// Prefixes are named by hash only. Bounded: the prefix unused for longest is forgotten first. Runs on the io thread.
class PrefixReport {
 public:
  static constexpr std::size_t maxPrefixes = 1024;
  static constexpr std::size_t maxZones = 16;   ///< zones told of one prefix
  static constexpr std::size_t maxChoices = 8;  ///< last choices kept of one prefix

  explicit PrefixReport(Metrics& metrics) : metrics_(metrics) {}
  /// Notes a placement and the time until the worker's first output.
  void record(PrefixPlacement const& placement, Ms firstOutput);
  /// All of it as JSON, the prefix used last first. Times are in milliseconds, costs in loads.
  string json() const;
  std::size_t size() const { return prefixes_.size(); }

 private:
  struct ZoneStats {
    std::array<std::uint64_t, prefixChoices> count{};
    double firstOutputMs = 0;  ///< moving average
  };
  struct PastChoice {
    PrefixPlacement placement;
    Ms firstOutput{0};
  };
  struct Prefix {
    std::uint64_t key = 0, sharedTokens = 0;
    string preferredWorker, preferredZone;
    std::map<string, ZoneStats> zones;  ///< by the zone of the worker
    std::deque<PastChoice> last;
  };
  struct Series {
    Counter requests, tokens;
  };

  Prefix& touch(PrefixPlacement const& placement);
  void count(PrefixPlacement const& placement);

  Metrics& metrics_;
  std::list<Prefix> prefixes_;  ///< the one used last first
  std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> byKey_;
  std::map<std::tuple<PrefixChoice, PrefixReason, string>, Series> series_;
};

}  // namespace tealshelf
