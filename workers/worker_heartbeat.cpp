#include "workers/worker_heartbeat.hpp"

#include <rapidjson/document.h>

namespace tealshelf {

namespace {
/// The largest count or time accepted in a heartbeat.
constexpr double maxNumber = 1e15;

string textField(rapidjson::Document const& heartbeat, char const* name) {
  if (!heartbeat.HasMember(name) || !heartbeat[name].IsString()) throw Error(ErrorCode::badHeartbeat, name);
  return string(heartbeat[name].GetString(), heartbeat[name].GetStringLength());
}

std::uint64_t numberField(rapidjson::Document const& heartbeat, char const* name) {
  if (!heartbeat.HasMember(name)) return 0;
  rapidjson::Value const& value = heartbeat[name];
  if (!value.IsNumber() || value.GetDouble() < 0 || value.GetDouble() > maxNumber)
    throw Error(ErrorCode::badHeartbeat, name);
  return static_cast<std::uint64_t>(value.GetDouble());
}

bool isDraining(rapidjson::Document const& heartbeat) {
  return heartbeat.HasMember("state") && heartbeat["state"].IsString() &&
         string_view(heartbeat["state"].GetString()) == "draining";
}
}  // namespace

Worker parseWorkerHeartbeat(string const& id, string const& body) {
  rapidjson::Document heartbeat;
  heartbeat.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (heartbeat.HasParseError() || !heartbeat.IsObject()) throw Error(ErrorCode::badHeartbeat);
  Worker worker;
  worker.id = id;
  worker.service = textField(heartbeat, "service");
  std::optional<Address> const address = parseAddress(textField(heartbeat, "address"));
  if (!address) throw Error(ErrorCode::badHeartbeat, "address");
  worker.address = *address;
  if (heartbeat.HasMember("zone")) worker.zone = textField(heartbeat, "zone");
  if (heartbeat.HasMember("version")) worker.version = textField(heartbeat, "version");
  worker.capacity = std::max<std::uint64_t>(1, numberField(heartbeat, "capacity"));
  worker.heartbeatSequence = numberField(heartbeat, "callCount");
  worker.warmupLeftMs = static_cast<std::int64_t>(numberField(heartbeat, "warmupLeftMs"));
  worker.warmingUp = worker.warmupLeftMs > 0;
  worker.draining = isDraining(heartbeat);
  return worker;
}

}  // namespace tealshelf
