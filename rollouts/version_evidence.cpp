#include "rollouts/version_evidence.hpp"

#include <cmath>
#include <iomanip>
#include <sstream>

namespace tealshelf {

namespace {
/// Quantiles of the normal distribution for the lower bounds of a failure rate and of a ratio of latencies.
constexpr double failureRateQuantile = 2.6, latencyQuantile = 3;
/// A version fails more if the lower bound of its failure rate exceeds the old version's rate by so much, after so many
/// failures.
constexpr double minFailureRateExcess = 0.08;
constexpr std::uint64_t minFailureCount = 4;
/// A version is slower if the lower bound of its latency is so many times the old version's, after so many samples of
/// each.
constexpr double minSlowdown = 1.4;
constexpr std::uint64_t minLatencySamples = 10;

/// Lower bound of the Wilson score interval of a proportion.
double wilsonLowerBound(std::uint64_t hits, std::uint64_t total) {
  double const n = static_cast<double>(total), share = static_cast<double>(hits) / n;
  double const z2 = failureRateQuantile * failureRateQuantile;
  double const center = share + z2 / (2 * n);
  double const spread = failureRateQuantile * std::sqrt(share * (1 - share) / n + z2 / (4 * n * n));
  return (center - spread) / (1 + z2 / n);
}

double failureRate(VersionTally const& tally) {
  std::uint64_t const total = tally.failed + tally.succeeded;
  return total ? static_cast<double>(tally.failed) / static_cast<double>(total) : 0;
}

std::optional<string> failureReason(VersionTally const& target, VersionTally const& old) {
  std::uint64_t const total = target.failed + target.succeeded;
  if (target.failed < minFailureCount ||
      wilsonLowerBound(target.failed, total) < failureRate(old) + minFailureRateExcess)
    return std::nullopt;
  std::ostringstream text;
  text << target.failed << " of " << total << " answers failed, of the old version " << old.failed << " of "
       << old.failed + old.succeeded;
  return text.str();
}

std::optional<string> slownessReason(VersionTally const& target, VersionTally const& old) {
  if (target.latency.count < minLatencySamples || old.latency.count < minLatencySamples) return std::nullopt;
  double const difference = target.latency.mean() - old.latency.mean();
  double const error = std::sqrt(target.latency.varianceOfMean() + old.latency.varianceOfMean());
  if (difference - latencyQuantile * error < std::log(minSlowdown)) return std::nullopt;
  std::ostringstream text;
  text << "answers take " << std::fixed << std::setprecision(1) << std::exp(difference) << " times as long, by "
       << target.latency.count << " of them";
  return text.str();
}
}  // namespace

VersionTally sentTally() {
  VersionTally tally;
  tally.sent = 1;
  return tally;
}

VersionTally outcomeTally(bool succeeded, std::optional<double> latencyMs) {
  VersionTally tally;
  (succeeded ? tally.succeeded : tally.failed) = 1;
  if (latencyMs) tally.latency.add(*latencyMs);
  return tally;
}

void LogLatencyStats::add(double milliseconds) {
  double const logarithm = std::log(std::max(milliseconds, 0.01));
  ++count;
  sum += logarithm;
  squares += logarithm * logarithm;
}

void LogLatencyStats::add(LogLatencyStats const& other) {
  count += other.count;
  sum += other.sum;
  squares += other.squares;
}

double LogLatencyStats::varianceOfMean() const {
  if (count < 2) return 0;
  double const n = static_cast<double>(count);
  return std::max(0.0, squares / n - mean() * mean()) / (n - 1);
}

void VersionTally::add(VersionTally const& other) {
  sent += other.sent;
  succeeded += other.succeeded;
  failed += other.failed;
  latency.add(other.latency);
}

bool VersionTally::subtract(VersionTally const& earlier) {
  bool const grew = sent >= earlier.sent && succeeded >= earlier.succeeded && failed >= earlier.failed &&
                    latency.count >= earlier.latency.count;
  if (!grew) return false;
  sent -= earlier.sent;
  succeeded -= earlier.succeeded;
  failed -= earlier.failed;
  latency.count -= earlier.latency.count;
  latency.sum -= earlier.latency.sum;
  latency.squares -= earlier.latency.squares;
  return true;
}

vector<VersionTally> talliesSince(vector<VersionTally> const& earlier, vector<VersionTally> const& present) {
  VersionEvidence before, now;
  before.add(earlier);
  now.add(present);
  vector<VersionTally> increase = now.all();
  for (VersionTally& tally : increase)
    for (VersionTally const& old : before.all()) {
      bool const isSame = old.order == tally.order && old.route == tally.route && old.isTarget == tally.isTarget;
      if (isSame) tally.subtract(old);
    }
  return increase;
}

void VersionEvidence::add(VersionTally const& tally) {
  VersionTally& sum = tallies_[Key{tally.order, tally.route, tally.isTarget}];
  sum.order = tally.order;
  sum.service = tally.service;
  sum.route = tally.route;
  sum.isTarget = tally.isTarget;
  sum.add(tally);
}

void VersionEvidence::add(vector<VersionTally> const& tallies) {
  for (VersionTally const& tally : tallies) add(tally);
}

vector<VersionTally> VersionEvidence::all() const {
  vector<VersionTally> tallies;
  for (auto const& [key, tally] : tallies_) tallies.push_back(tally);
  return tallies;
}

vector<VersionTally> VersionEvidence::take() {
  vector<VersionTally> tallies = all();
  tallies_.clear();
  return tallies;
}

void VersionEvidence::retain(std::set<std::uint64_t> const& orders) {
  std::erase_if(tallies_, [&orders](auto const& item) { return !orders.contains(item.first.order); });
}

VersionJudgement judgeVersion(RolloutRecord const& record, vector<VersionTally> const& tallies) {
  VersionJudgement judgement;
  VersionTally targetTotal, oldTotal;
  std::map<string, std::pair<VersionTally, VersionTally>> routes;  // target and old
  for (VersionTally const& tally : tallies) {
    if (tally.order != record.order || tally.service != record.service) continue;
    (tally.isTarget ? targetTotal : oldTotal).add(tally);
    auto& [target, old] = routes[tally.route];
    (tally.isTarget ? target : old).add(tally);
  }
  judgement.sentToTarget = static_cast<double>(targetTotal.sent);
  judgement.sentTotal = judgement.sentToTarget + static_cast<double>(oldTotal.sent);
  std::optional<string> reason = failureReason(targetTotal, oldTotal);
  if (reason) reason = "on all routes " + *reason;
  for (auto const& [route, versions] : routes) {
    if (reason) break;
    auto const& [target, old] = versions;
    reason = failureReason(target, old);
    if (!reason) reason = slownessReason(target, old);
    if (reason) reason = "on route " + route + " " + *reason;
  }
  if (!reason) return judgement;
  judgement.verdict = VersionVerdict::bad;
  judgement.reason = *reason;
  return judgement;
}

}  // namespace tealshelf
