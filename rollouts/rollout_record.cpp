#include "rollouts/rollout_record.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace tealshelf {

string_view nameOf(RolloutState state) {
  constexpr std::array<string_view, 3> names = {"serving", "finished", "reverted"};
  return names.at(static_cast<std::size_t>(state));
}

string rolloutAsJson(RolloutRecord const& record) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  string_view const state = nameOf(record.state);
  writer.StartObject();
  writer.Key("state");
  writer.String(state.data(), static_cast<rapidjson::SizeType>(state.size()));
  writer.Key("targetVersion");
  writer.String(record.target.data(), static_cast<rapidjson::SizeType>(record.target.size()));
  writer.EndObject();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
