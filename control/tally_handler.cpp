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
    : settings_(settings), rpc_(rpc), consensus_(consensus), store_(store) {}

Task<CallReply> TallyHandler::handle(ForwardedCall call) {
  if (call.verb != "POST" && call.verb != "GET") throw Error(ErrorCode::methodNotAllowed);
  string const tally = idInPath(call.path, string(tallyPath));
  TimePoint const end = Clock::now() + std::min(Ms(call.budgetMs), Ms(settings_.bounds.inTouch / 5));
  bool const isAddition = call.verb == "POST";
  TallyAddition addition;
  if (isAddition) addition = readAddition(call.body);
  if (!store_.isServing()) co_return co_await forwardToMember(std::move(call));
  if (isAddition) {
    co_await store_.add(tally, addition.serverId, addition.changedBy, end);
    co_return CallReply{200, "{}"};
  }
  co_return CallReply{200, "{\"total\":" + textOf(store_.total(tally)) + "}"};
}

Task<CallReply> TallyHandler::forwardToMember(ForwardedCall call) {
  if (call.hops++ > 0) throw Error(ErrorCode::notReady, "the call was forwarded to a node that doesn't serve tallies");
  TimePoint const end = Clock::now() + Ms(call.budgetMs);
  vector<Member> members = consensus_.membership().members;
  std::stable_partition(members.begin(), members.end(),
                        [this](Member const& member) { return member.zone == settings_.zone; });
  for (Member const& member : members) {
    if (member.ip == settings_.ip) continue;
    call.budgetMs = std::min<std::int64_t>(remainingMs(end), (settings_.bounds.inTouch / 8).count());
    if (call.budgetMs <= 0) break;
    try {
      co_return co_await rpc_.call(settings_.controlAddress(member.ip), call, Ms(call.budgetMs));
    } catch (Error const& error) {
      bool const isFinal = error.kind() != ErrorKind::rejected && error.kind() != ErrorKind::undetermined;
      if (isFinal) throw;
      // An addition that may have been counted is left to its caller, who may retry it at any node: it counts once.
      if (error.kind() == ErrorKind::undetermined && call.verb == "POST") throw;
    }
  }
  throw Error(ErrorCode::notReady, "no member that serves tallies was reached");
}

}  // namespace tealshelf
