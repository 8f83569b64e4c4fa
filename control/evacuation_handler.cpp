#include "control/evacuation_handler.hpp"

#include "control/call_input.hpp"

namespace tealshelf {

namespace {
string const evacuationPrefix = "evacuation/";
}  // namespace

EvacuationHandler::EvacuationHandler(asio::io_context& io, Settings const& settings, RpcClient& rpc,
                                     ConsensusDriver& driver, UpdatePublisher& publisher)
    : settings_(settings),
      driver_(driver),
      publisher_(publisher),
      keyspace_(settings, rpc, driver, membersKeyspace),
      changes_(io, maxWaitingOrders) {}

std::map<string, Evacuation> EvacuationHandler::records() const {
  std::map<string, Evacuation> records;
  std::optional<Values> const values = driver_.consensus().lastKnownValues(membersKeyspace);
  if (!values) return records;
  for (auto const& [key, value] : *values)
    if (key.starts_with(evacuationPrefix))
      records[key.substr(evacuationPrefix.size())] = deserialize<Evacuation>(value);
  return records;
}

bool EvacuationHandler::isActive(string const& zone) const {
  Values const& values = driver_.consensus().committedValues(membersKeyspace);
  auto const record = values.find(evacuationPrefix + zone);
  return record != values.end() && deserialize<Evacuation>(record->second).isActive;
}

std::uint64_t EvacuationHandler::revisionOf(string const& zone) const {
  auto const found = revisions_.find(zone);
  return found == revisions_.end() ? 0 : found->second;
}

Task<CallReply> EvacuationHandler::handle(ForwardedCall call) {
  if (call.verb != "POST" && call.verb != "DELETE") throw Error(ErrorCode::methodNotAllowed);
  string const zone = idInPath(call.path, "/evacuation/");
  if (!settings_.zones.contains(zone)) throw Error(ErrorCode::unknownZone, zone);
  TimePoint const end = Clock::now() + Ms(call.budgetMs);
  std::optional<CallReply> const forwarded = co_await keyspace_.forward(call);
  if (forwarded) co_return *forwarded;
  co_await keyspace_.confirmOwnership(end);
  AsyncMutex::Lock const turn = co_await changes_.lock(Ms(remainingMs(end)));
  std::map<string, Evacuation> present = records();
  Evacuation next = present[zone];
  bool const evacuates = call.verb == "POST";
  if (next.isActive == evacuates) co_return CallReply{200, "{}"};
  next.zone = zone;
  next.isActive = evacuates;
  ++next.revision;
  vector<KeyChange> changes(1, KeyChange{evacuationPrefix + zone, serialize(next), false});
  co_await keyspace_.commit(std::move(changes));
  logInfo("control", "zone " + zone + (evacuates ? " is evacuated" : " is no longer evacuated"));
  driver_.onChange();
  co_return CallReply{200, "{}"};
}

bool EvacuationHandler::publishCommitted() {
  bool changed = false;
  for (auto const& [zone, record] : records()) {
    if (record.revision <= revisions_[zone]) continue;
    revisions_[zone] = record.revision;
    changed = publisher_.common.put(string(evacuationRowPrefix) + zone, serialize(record)) || changed;
  }
  return changed;
}

}  // namespace tealshelf
