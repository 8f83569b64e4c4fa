#include "control/duty_report.hpp"

#include "base/json_fields.hpp"

namespace tealshelf {

namespace {
void writeUsage(JsonWriter& writer, UsageCollector::Status const& status) {
  writer.Key("usage");
  writer.StartObject();
  if (status.closedThrough) {
    writer.Key("closedThrough");
    writer.Int64(status.closedThrough->value);
  }
  writer.Key("presentWindow");
  writer.Int64(status.currentWindow.value);
  writeField(writer, "unsent", status.unsent);
  writeField(writer, "lastAnswer", status.lastAnswer);
  writer.Key("waitsFor");
  writer.StartArray();
  for (string const& node : status.unfinished)
    writer.String(node.data(), static_cast<rapidjson::SizeType>(node.size()));
  writer.EndArray();
  writer.EndObject();
}

void writeZone(JsonWriter& writer, CapacityController::View const& view, string const& zone,
               ZoneWorkers const& workers) {
  writer.StartObject();
  writeField(writer, "zone", zone);
  writeField(writer, "present", workers.present);
  auto const ordered = view.ordered.find(zone);
  if (ordered != view.ordered.end()) writeField(writer, "ordered", ordered->second);
  for (ScalingOrder const& order : view.decision.orders)
    if (order.zone == zone) writeField(writer, "wouldOrder", order.wanted);
  writer.EndObject();
}

void writeService(JsonWriter& writer, CapacityController::View const& view) {
  writer.StartObject();
  writeField(writer, "service", view.service);
  writeField(writer, "lowest", view.inputs.scaling.lowest);
  writeField(writer, "highest", view.inputs.scaling.highest);
  writeField(writer, "slotsPerWorker", view.inputs.slotsPerWorker);
  writeReal(writer, "inFlight", view.inputs.load.inFlight);
  writeReal(writer, "backlog", view.inputs.load.backlog);
  writeReal(writer, "peakDemand", view.decision.peakDemand);
  writeField(writer, "leastPerZone", view.decision.minWorkers);
  writeField(writer, "mostPerZone", view.decision.maxWorkers);
  writeField(writer, "reason", view.decision.reason);
  writer.Key("zones");
  writer.StartArray();
  for (auto const& [zone, workers] : view.inputs.zones) writeZone(writer, view, zone, workers);
  writer.EndArray();
  writer.EndObject();
}
}  // namespace

string dutyReport(Settings const& settings, DutyHolder const& duties, UsageCollector const& usage,
                  CapacityController const& capacity) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writeField(writer, "node", settings.nodeName);
  std::optional<DutyRecord> const record = duties.record();
  writeField(writer, "holder", record ? record->holderName : string());
  writeField(writer, "fence", record ? record->fence : 0);
  writeField(writer, "mayAct", string(duties.mayAct() ? "yes" : "no"));
  writeReal(writer, "platformSilenceS", static_cast<double>(duties.platformSilence().count()) / 1000);
  writeUsage(writer, usage.status());
  writer.Key("capacity");
  writer.StartArray();
  for (CapacityController::View const& view : capacity.views()) writeService(writer, view);
  writer.EndArray();
  writer.EndObject();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
