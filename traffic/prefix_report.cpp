#include "traffic/prefix_report.hpp"

#include "base/json_fields.hpp"

namespace tealshelf {

namespace {
/// Weight of a new observation in a moving average.
constexpr double newestWeight = 0.2;
}  // namespace

PrefixReport::Prefix& PrefixReport::touch(PrefixPlacement const& placement) {
  auto const known = byKey_.find(placement.prefixKey);
  if (known != byKey_.end()) {
    prefixes_.splice(prefixes_.begin(), prefixes_, known->second);
    return prefixes_.front();
  }
  if (prefixes_.size() >= maxPrefixes) {
    byKey_.erase(prefixes_.back().key);
    prefixes_.pop_back();
  }
  prefixes_.emplace_front();
  prefixes_.front().key = placement.prefixKey;
  byKey_[placement.prefixKey] = prefixes_.begin();
  return prefixes_.front();
}

void PrefixReport::count(PrefixPlacement const& placement) {
  std::tuple<PrefixChoice, PrefixReason, string> const key(placement.choice, placement.reason, placement.workerZone);
  auto found = series_.find(key);
  if (found == series_.end()) {
    MetricLabels const labels{{"choice", string(nameOf(placement.choice))},
                              {"reason", string(nameOf(placement.reason))},
                              {"worker_zone", placement.workerZone}};
    Series const created{
        metrics_.counter("tealshelf_edge_prefix_requests_total", "Requests with a long shared prefix.", labels),
        metrics_.counter("tealshelf_edge_prefix_tokens_total", "Tokens of their shared prefixes.", labels)};
    found = series_.emplace(key, created).first;
  }
  found->second.requests.increment();
  found->second.tokens.increment(placement.sharedTokens);
}

void PrefixReport::record(PrefixPlacement const& placement, Ms firstOutput) {
  count(placement);
  Prefix& prefix = touch(placement);
  prefix.sharedTokens = placement.sharedTokens;
  prefix.preferredWorker = placement.preferredWorker;
  prefix.preferredZone = placement.preferredZone;
  if (prefix.zones.contains(placement.workerZone) || prefix.zones.size() < maxZones) {
    ZoneStats& stats = prefix.zones[placement.workerZone];
    bool const isFirst = stats.firstOutputMs == 0;
    double const observed = static_cast<double>(firstOutput.count());
    stats.firstOutputMs += (isFirst ? 1 : newestWeight) * (observed - stats.firstOutputMs);
    ++stats.count[static_cast<std::size_t>(placement.choice)];
  }
  prefix.last.push_front({placement, firstOutput});
  if (prefix.last.size() > maxChoices) prefix.last.pop_back();
}

string PrefixReport::json() const {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartArray();
  for (Prefix const& prefix : prefixes_) {
    writer.StartObject();
    writeField(writer, "prefix", hex(prefix.key));
    writeField(writer, "tokens", prefix.sharedTokens);
    writeField(writer, "keeper", prefix.preferredWorker);
    writeField(writer, "keeperZone", prefix.preferredZone);
    writer.Key("sites");
    writer.StartArray();
    for (auto const& [zone, stats] : prefix.zones) {
      writer.StartObject();
      writeField(writer, "zone", zone);
      for (std::size_t choice = 0; choice < prefixChoices; ++choice)
        writeField(writer, nameOf(static_cast<PrefixChoice>(choice)).data(), stats.count[choice]);
      writeReal(writer, "firstOutputMs", stats.firstOutputMs);
      writer.EndObject();
    }
    writer.EndArray();
    writer.Key("last");
    writer.StartArray();
    for (PastChoice const& past : prefix.last) {
      writer.StartObject();
      writeField(writer, "choice", nameOf(past.placement.choice));
      writeField(writer, "reason", nameOf(past.placement.reason));
      writeField(writer, "worker", past.placement.worker);
      writeField(writer, "zone", past.placement.workerZone);
      writeReal(writer, "keeperCost", past.placement.preferredCost);
      writeReal(writer, "chosenCost", past.placement.chosenCost);
      writeField(writer, "firstOutputMs", static_cast<std::uint64_t>(past.firstOutput.count()));
      writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndArray();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
