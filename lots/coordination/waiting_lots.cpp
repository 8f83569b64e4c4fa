#include "lots/coordination/waiting_lots.hpp"

#include "base/json_fields.hpp"

namespace tealshelf {

string waitingLotsReport(string const& node, vector<WaitingLot> lots, std::size_t maxLots) {
  std::sort(lots.begin(), lots.end(), [](WaitingLot const& left, WaitingLot const& right) {
    return std::tuple(left.need, right.waited, left.lot) < std::tuple(right.need, left.waited, right.lot);
  });
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writeField(writer, "node", node);
  writeField(writer, "waiting", lots.size());
  writer.Key("lots");
  writer.StartArray();
  for (std::size_t i = 0; i < std::min(lots.size(), maxLots); ++i) {
    WaitingLot const& lot = lots[i];
    writer.StartObject();
    writeField(writer, "lot", lot.lot);
    writeField(writer, "host", lot.host);
    writeField(writer, "need", string(nameOf(lot.need)));
    writeField(writer, "outcome", string(nameOf(lot.outcome)));
    writeField(writer, "tries", lot.attempts);
    writeField(writer, "waitsMs", static_cast<std::uint64_t>(lot.waited.count()));
    writeField(writer, "finding", lot.finding);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
