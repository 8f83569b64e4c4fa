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
    throw Error(ErrorCode::badRollout, string(field) + " must be a string of 1 to 256 bytes");
  return string(member->value.GetString(), member->value.GetStringLength());
}

OrderDecision startRollout(RolloutOrder const& order, string const& currentVersion) {
  OrderDecision decision;
  decision.kind = OrderDecision::Kind::write;
  decision.record.service = order.service;
  decision.record.target = order.target;
  decision.record.stable = currentVersion == order.target ? "" : currentVersion;
  decision.record.durationMs = order.duration.count();
  decision.record.reason = "ordered";
  // If the version serves already there is no traffic to move.
  if (currentVersion == order.target) {
    decision.record.state = RolloutState::finished;
    decision.record.share = fullShare;
  }
  return decision;
}
}  // namespace

RolloutOrder parseRolloutOrder(string const& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject())
    throw Error(ErrorCode::badRollout, "the body isn't a JSON object");
  RolloutOrder order;
  order.service = nameIn(document, "service");
  order.target = nameIn(document, "targetVersion");
  rapidjson::Value::ConstMemberIterator const over = document.FindMember("overS");
  if (over == document.MemberEnd() || !over->value.IsNumber())
    throw Error(ErrorCode::badRollout, "overS must be a number of seconds");
  double const seconds = over->value.GetDouble();
  if (!(seconds > 0 && seconds <= maxDurationSeconds))
    throw Error(ErrorCode::badRollout, "overS must be above 0 and at most a day");
  order.duration = Ms(static_cast<std::int64_t>(seconds * 1000));
  return order;
}

OrderDecision decideOrder(std::optional<RolloutRecord> const& present, RolloutOrder const& order,
                          string const& currentVersion, Ms elapsed, Ms repeatGrace) {
  if (!present) return startRollout(order, currentVersion);
  bool const isSameTarget = present->target == order.target;
  if (present->isServing()) {
    if (isSameTarget) return {};
    OrderDecision decision;
    bool const isRollback = order.target == present->stable;
    decision.kind = isRollback ? OrderDecision::Kind::write : OrderDecision::Kind::refuse;
    decision.record = *present;
    decision.record.state = RolloutState::reverted;
    decision.record.share = 0;
    decision.record.reason = "the operator ordered the old version back";
    return decision;
  }
  bool const isRepeat = elapsed <= Ms(present->durationMs) + repeatGrace;
  if (isSameTarget && (present->state == RolloutState::finished || isRepeat)) return {};
  string const lastVersion = present->state == RolloutState::finished ? present->target : present->stable;
  return startRollout(order, lastVersion.empty() ? currentVersion : lastVersion);
}

}  // namespace tealshelf
