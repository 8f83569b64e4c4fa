#include "traffic/prefix_report.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace tealshelf {

namespace {
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Weight of a new observation in a moving average.
constexpr double newestWeight = 0.2;

void writeText(Writer& writer, char const* name, string_view text) {
  writer.Key(name);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void writeNumber(Writer& writer, char const* name, std::uint64_t number) {
  writer.Key(name);
  writer.Uint64(number);
}

void writeReal(Writer& writer, char const* name, double number) {
  writer.Key(name);
  writer.Double(number);
}
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
  prefix.keeper = placement.keeper;
  prefix.keeperZone = placement.keeperZone;
  if (prefix.sites.contains(placement.workerZone) || prefix.sites.size() < maxSites) {
    Site& site = prefix.sites[placement.workerZone];
    bool const isFirst = site.firstOutputMs == 0;
    double const observed = static_cast<double>(firstOutput.count());
    site.firstOutputMs += (isFirst ? 1 : newestWeight) * (observed - site.firstOutputMs);
    ++site.count[static_cast<std::size_t>(placement.choice)];
  }
  prefix.last.push_front({placement, firstOutput});
  if (prefix.last.size() > maxChoices) prefix.last.pop_back();
}

string PrefixReport::json() const {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartArray();
  for (Prefix const& prefix : prefixes_) {
    writer.StartObject();
    writeText(writer, "prefix", hex(prefix.key));
    writeNumber(writer, "tokens", prefix.sharedTokens);
    writeText(writer, "keeper", prefix.keeper);
    writeText(writer, "keeperZone", prefix.keeperZone);
    writer.Key("sites");
    writer.StartArray();
    for (auto const& [zone, site] : prefix.sites) {
      writer.StartObject();
      writeText(writer, "zone", zone);
      for (std::size_t choice = 0; choice < prefixChoices; ++choice)
        writeNumber(writer, nameOf(static_cast<PrefixChoice>(choice)).data(), site.count[choice]);
      writeReal(writer, "firstOutputMs", site.firstOutputMs);
      writer.EndObject();
    }
    writer.EndArray();
    writer.Key("last");
    writer.StartArray();
    for (PastChoice const& past : prefix.last) {
      writer.StartObject();
      writeText(writer, "choice", nameOf(past.placement.choice));
      writeText(writer, "reason", nameOf(past.placement.reason));
      writeText(writer, "worker", past.placement.worker);
      writeText(writer, "zone", past.placement.workerZone);
      writeReal(writer, "keeperCost", past.placement.keeperCost);
      writeReal(writer, "chosenCost", past.placement.chosenCost);
      writeNumber(writer, "firstOutputMs", static_cast<std::uint64_t>(past.firstOutput.count()));
      writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndArray();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
