#include "control/tally_forwarder.hpp"

#include "wire/tasks.hpp"

namespace tealshelf {

namespace {
/// True for an error after which the same call may succeed at another member.
bool mayAskAnother(Error const& error) {
  return error.kind() == ErrorKind::rejected || error.kind() == ErrorKind::undetermined;
}

void countHop(ForwardedCall& call) {
  if (call.hops++ > 0) throw Error(ErrorCode::notReady, "the call was forwarded to a node that doesn't serve tallies");
}
}  // namespace

TallyForwarder::TallyForwarder(Settings const& settings, RpcClient& rpc, Consensus const& consensus, TallyStore& store)
    : settings_(settings), rpc_(rpc), consensus_(consensus), store_(store) {}

vector<Member> TallyForwarder::members() const {
  vector<Member> members = consensus_.membership().members;
  std::erase_if(members, [this](Member const& member) { return member.ip == settings_.ip; });
  std::stable_partition(members.begin(), members.end(),
                        [this](Member const& member) { return member.zone == settings_.zone; });
  return members;
}

Task<CallReply> TallyForwarder::send(Member const& member, ForwardedCall call, TimePoint end) {
  call.budgetMs = std::min<std::int64_t>(remainingMs(end), answerTimeout().count());
  if (call.budgetMs <= 0) throw Error(ErrorCode::notReady, "no time is left to reach a member that serves tallies");
  co_return co_await rpc_.call(settings_.controlAddress(member.ip), call, Ms(call.budgetMs));
}

Task<VersionVector> TallyForwarder::syncedAt(Member const& member, TimePoint end) {
  TallyPush push;
  push.from = consensus_.self().id;
  push.to = member.id;
  Ms const timeout = std::min(Ms(remainingMs(end)), answerTimeout());
  TallyPushReply const reply = co_await rpc_.call(settings_.controlAddress(member.ip), push, timeout);
  co_return reply.synced;
}

Task<VersionVector> TallyForwarder::syncedAfterAddition(Member const& member, TimePoint end) {
  try {
    co_return co_await syncedAt(member, end);
  } catch (Error const& error) {
    throw Error(ErrorCode::additionUndecided, error.what());
  }
}

Task<CallReply> TallyForwarder::add(ForwardedCall call) {
  countHop(call);
  TimePoint const end = Clock::now() + Ms(call.budgetMs);
  for (Member const& member : members()) {
    try {
      CallReply reply = co_await send(member, call, end);
      if (reply.additions.empty()) reply.additions = co_await syncedAfterAddition(member, end);
      store_.session().noteAcknowledged(reply.additions);
      co_return reply;
    } catch (Error const& error) {
      // An addition that may have been counted is left to its caller, who may retry it at any node: it counts once.
      if (error.kind() != ErrorKind::rejected) throw;
    }
  }
  throw Error(ErrorCode::notReady, "no member that serves tallies was reached");
}

Task<CallReply> TallyForwarder::readAt(Member const& member, ForwardedCall const& call, TimePoint end) {
  CallReply reply = co_await send(member, call, end);
  bool const reportsAdditions = !reply.additions.empty() || call.requiredAdditions.empty();
  if (reportsAdditions) co_return reply;
  // A read after the report includes what was reported.
  VersionVector const synced = co_await syncedAt(member, end);
  reply = co_await send(member, call, end);
  reply.additions = synced;
  co_return reply;
}

Task<std::optional<CallReply>> TallyForwarder::readRound(ForwardedCall const& call, TimePoint end,
                                                         TallySurvey& survey) {
  survey.required = call.requiredAdditions;
  survey.add(store_.knownOf(call.requiredAdditions));
  for (Member const& member : members()) {
    try {
      CallReply reply = co_await readAt(member, call, end);
      if (includes(reply.additions, call.requiredAdditions)) co_return reply;
      survey.hasAnswer = true;
      survey.add(reply.additions);
    } catch (Error const& error) {
      if (!mayAskAnother(error)) throw;
      survey.isComplete = false;
    }
  }
  co_return std::nullopt;
}

Task<CallReply> TallyForwarder::read(ForwardedCall call) {
  countHop(call);
  TimePoint const end = Clock::now() + Ms(call.budgetMs);
  TimePoint const lastRoundAt = std::min(end, Clock::now() + Ms(settings_.bounds.inTouch / 5));
  for (;;) {
    call.requiredAdditions = store_.session().required();
    TallySurvey survey;
    std::optional<CallReply> reply = co_await readRound(call, end, survey);
    if (reply) {
      store_.session().noteMet();
      co_return std::move(*reply);
    }
    if (!survey.hasAnswer) throw Error(ErrorCode::notReady, "no member that serves tallies was reached");
    store_.noteSessionUnmet(survey);
    if (Clock::now() + pauseBetweenRounds() >= lastRoundAt)
      throw Error(ErrorCode::notReady, "the members that were reached lack additions that this node acknowledged");
    co_await sleepFor(pauseBetweenRounds());
  }
}

}  // namespace tealshelf
