#include "control/tally_handler.hpp"

#include "control/call_input.hpp"

#include <rapidjson/document.h>

namespace tealshelf {

namespace {
constexpr std::size_t maxCallerIdLength = 128;
/// The largest integer that all JSON readers represent exactly.
constexpr std::int64_t maxChange = std::int64_t(1) << 53;
}  // namespace

TallyAddition readAddition(string const& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject())
    throw Error(ErrorCode::badAddition, "the body isn't a JSON object");
  rapidjson::Value::ConstMemberIterator const id = document.FindMember("serverId");
  if (id == document.MemberEnd() || !id->value.IsString())
    throw Error(ErrorCode::badAddition, "serverId must be a string");
  rapidjson::Value::ConstMemberIterator const change = document.FindMember("changedBy");
  if (change == document.MemberEnd() || !change->value.IsInt64())
    throw Error(ErrorCode::badAddition, "changedBy must be an integer");
  TallyAddition addition;
  addition.serverId.assign(id->value.GetString(), id->value.GetStringLength());
  addition.changedBy = change->value.GetInt64();
  if (addition.serverId.empty() || addition.serverId.size() > maxCallerIdLength)
    throw Error(ErrorCode::badAddition, "serverId must have 1 to 128 bytes");
  if (addition.changedBy > maxChange || addition.changedBy < -maxChange)
    throw Error(ErrorCode::badAddition, "changedBy must be within -2^53 and 2^53");
  return addition;
}

TallyHandler::TallyHandler(Settings const& settings, RpcClient& rpc, Consensus const& consensus, TallyStore& store)
    : settings_(settings), store_(store), forwarder_(settings, rpc, consensus, store) {}

Task<CallReply> TallyHandler::handle(ForwardedCall call) {
  if (call.verb != "POST" && call.verb != "GET") throw Error(ErrorCode::methodNotAllowed);
  string const tally = idInPath(call.path, string(tallyPath));
  if (call.verb == "POST") co_return co_await add(tally, std::move(call));
  co_return co_await read(tally, std::move(call));
}

Task<CallReply> TallyHandler::add(string tally, ForwardedCall call) {
  TimePoint const end = Clock::now() + std::min(Ms(call.budgetMs), Ms(settings_.bounds.inTouch / 5));
  TallyAddition const addition = readAddition(call.body);
  if (!store_.isServing()) co_return co_await forwarder_.add(std::move(call));
  VersionVector additions = co_await store_.add(tally, addition.serverId, addition.changedBy, end);
  co_return CallReply{200, "{}", std::move(additions)};
}

Task<CallReply> TallyHandler::read(string tally, ForwardedCall call) {
  if (!canAnswer(call)) co_return co_await forwarder_.read(std::move(call));
  VersionVector included = store_.knownOf(call.requiredAdditions);
  co_return CallReply{200, "{\"total\":" + textOf(store_.total(tally)) + "}", std::move(included)};
}

bool TallyHandler::canAnswer(ForwardedCall const& call) {
  if (!store_.isServing()) return false;
  // A forwarded answer is checked by the node that forwarded the call.
  VersionVector const& required = store_.session().required();
  return call.hops > 0 || includes(store_.knownOf(required), required);
}

}  // namespace tealshelf
