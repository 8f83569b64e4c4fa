#pragma once
#include "base/metrics.hpp"
#include "traffic/prefix_placement.hpp"

#include <list>

namespace tealshelf {

/// URL path at which an edge node serves its report.
constexpr string_view prefixesPath = "/prefixes";

/// Placements of requests with long shared prefixes and their times to first output, for
/// `tealshelf-control-plane prefixes`.
///
/// Prefixes are identified by hash only. Bounded: the least recently used prefix is dropped first. Runs on the io
/// thread.
class PrefixReport {
 public:
  static constexpr std::size_t maxPrefixes = 1024;
  static constexpr std::size_t maxZones = 16;   ///< zones reported for one prefix
  static constexpr std::size_t maxChoices = 8;  ///< most recent placements kept for one prefix

  explicit PrefixReport(Metrics& metrics) : metrics_(metrics) {}
  /// Records a placement and the time until the worker's first output.
  void record(PrefixPlacement const& placement, Ms firstOutput);
  /// The report as JSON, the most recently used prefix first. Times are in milliseconds, costs in units of load.
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
  std::list<Prefix> prefixes_;  ///< the most recently used one first
  std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> byKey_;
  std::map<std::tuple<PrefixChoice, PrefixReason, string>, Series> series_;
};

}  // namespace tealshelf
