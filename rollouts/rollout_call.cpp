#include "rollouts/rollout_call.hpp"

#include <rapidjson/document.h>

namespace tealshelf {

namespace {
constexpr std::size_t maxNameLength = 256;
constexpr double maxDurationSeconds = 24 * 3600;

string nameIn(rapidjson::Value const& object, char const* field) {
  rapidjson::Value::ConstMemberIterator const member = object.FindMember(field);
  bool const isText = member != object.MemberEnd() && member->value.IsString();
  if (!isText || !member->value.GetStringLength() || member->value.GetStringLength() > maxNameLength)
    throw Error(ErrorCode::badRollout, string(field) + " is missing or no name");
  return string(member->value.GetString(), member->value.GetStringLength());
}

OrderDecision beginning(RolloutOrder const& order, string const& serving) {
  OrderDecision decision;
  decision.kind = OrderDecision::Kind::write;
  decision.record.service = order.service;
  decision.record.target = order.target;
  decision.record.stable = serving == order.target ? "" : serving;
  decision.record.durationMs = order.over.count();
  decision.record.reason = "ordered";
  // Where the version serves already there is nothing to move.
  if (serving == order.target) {
    decision.record.state = RolloutState::finished;
    decision.record.share = fullShare;
  }
  return decision;
}
}  // namespace

RolloutOrder parseRolloutOrder(string const& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) throw Error(ErrorCode::badRollout, "not an object");
  RolloutOrder order;
  order.service = nameIn(document, "service");
  order.target = nameIn(document, "targetVersion");
  rapidjson::Value::ConstMemberIterator const over = document.FindMember("overS");
  if (over == document.MemberEnd() || !over->value.IsNumber()) throw Error(ErrorCode::badRollout, "no overS");
  double const seconds = over->value.GetDouble();
  if (!(seconds > 0 && seconds <= maxDurationSeconds)) throw Error(ErrorCode::badRollout, "overS out of its range");
  order.over = Ms(static_cast<std::int64_t>(seconds * 1000));
  return order;
}

OrderDecision decideOrder(std::optional<RolloutRecord> const& present, RolloutOrder const& order, string const& serving,
                          Ms elapsed, Ms repeatGrace) {
  if (!present) return beginning(order, serving);
  bool const isSame = present->target == order.target;
  if (present->isServing()) {
    if (isSame) return {};
    OrderDecision decision;
    bool const isReturn = order.target == present->stable;
    decision.kind = isReturn ? OrderDecision::Kind::write : OrderDecision::Kind::refuse;
    decision.record = *present;
    decision.record.state = RolloutState::reverted;
    decision.record.share = 0;
    decision.record.reason = "the operator ordered the old version back";
    return decision;
  }
  bool const isRepeat = elapsed <= Ms(present->durationMs) + repeatGrace;
  if (isSame && (present->state == RolloutState::finished || isRepeat)) return {};
  string const now = present->state == RolloutState::finished ? present->target : present->stable;
  return beginning(order, now.empty() ? serving : now);
}

}  // namespace tealshelf
