#include "duties/usage_ledger.hpp"

#include "base/json_fields.hpp"

namespace tealshelf {

namespace {
string const progressKey = "usage/closed";
string const reportPrefix = "usage/report/";
/// Fraction of the report delay after which a window is closed although some nodes' counts are missing; the rest is
/// left for the call to the platform.
constexpr int closeWithinNumerator = 3, closeWithinDenominator = 4;

string reportKey(WindowNumber window) {
  return reportPrefix + hex(static_cast<std::uint64_t>(window.value));
}
}  // namespace

WindowNumber UsageLedger::finalAt(std::int64_t clusterTimeMs) const {
  return WindowNumber(windowAt(clusterTimeMs - timing_.countsGrace.count()).value - 1);
}

std::optional<UsageProgress> UsageLedger::progressIn(Values const& values) {
  auto const progress = values.find(progressKey);
  if (progress == values.end()) return std::nullopt;
  return deserialize<UsageProgress>(progress->second);
}

vector<UsageRecord> UsageLedger::unsent(Values const& values) {
  vector<UsageRecord> records;
  for (auto value = values.lower_bound(reportPrefix); value != values.end(); ++value) {
    if (!value->first.starts_with(reportPrefix)) break;
    std::uint64_t const window = std::stoull(value->first.substr(reportPrefix.size()), nullptr, 16);
    records.push_back({WindowNumber(static_cast<std::int64_t>(window)), value->second});
  }
  return records;
}

std::optional<WindowNumber> UsageLedger::nextToClose(Values const& values, UsageTable const& table) {
  std::optional<UsageProgress> const progress = progressIn(values);
  if (progress) return WindowNumber(progress->closedThrough.value + 1);
  return table.firstWindow();
}

bool UsageLedger::mayClose(WindowNumber window, std::int64_t clusterTimeMs, vector<string> const& unfinished) const {
  std::int64_t const sinceEnd = clusterTimeMs - endOf(window);
  std::int64_t const maxWait = timing_.delay.count() * closeWithinNumerator / closeWithinDenominator;
  if (sinceEnd < timing_.countsGrace.count()) return false;
  return unfinished.empty() || sinceEnd >= maxWait;
}

vector<KeyChange> UsageLedger::changesToClose(WindowNumber window, std::map<string, std::uint64_t> const& counts) {
  vector<KeyChange> changes;
  changes.push_back({reportKey(window), usageBody(window, counts), false});
  changes.push_back({progressKey, serialize(UsageProgress{window}), false});
  return changes;
}

KeyChange UsageLedger::changeToRemove(WindowNumber window) {
  return {reportKey(window), "", true};
}

string usageBody(WindowNumber window, std::map<string, std::uint64_t> const& counts) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("windowNumber");
  writer.Int64(window.value);
  writer.Key("counts");
  writer.StartObject();
  for (auto const& [tenant, requests] : counts) writeField(writer, tenant.c_str(), requests);
  writer.EndObject();
  writer.EndObject();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
