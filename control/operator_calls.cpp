#include "control/call_input.hpp"
#include "control/control_node.hpp"

#include <sstream>

/// The calls of the control interface: routing to their handlers, configurations and retirements.
namespace tealshelf {

Task<HttpReply> ControlNode::handle(HttpCall c) {
  ForwardCall q{c.verb, c.path, c.header("If-Match"), std::move(c.body), 0, callBudgetMs()};
  CallKind const kind = c.verb == "GET" ? CallKind::read : CallKind::change;
  HttpReply answer;
  try {
    CallReply const reply = co_await route(std::move(q));
    answer = HttpReply{reply.status, reply.body, "application/json", {}};
  } catch (Error const& error) {
    answer = errorReply(shownToCaller(error, kind));
  }
  if (answer.status == httpStatusOf(ErrorKind::unavailable)) answer.headers.emplace_back("Retry-After", retryAfter());
  co_return answer;
}

Task<CallReply> ControlNode::route(ForwardCall q) {
  if (q.path.rfind("/servers/", 0) == 0) co_return co_await servers(std::move(q));
  if (q.path == "/settings") co_return co_await configurationCall(std::move(q));
  if (q.path.rfind("/retire/", 0) == 0) co_return co_await retire(std::move(q));
  throw Error(ErrorCode::unknownPath, q.path.substr(0, 40));
}

/// Seconds after which a caller that was told "not now" may come again.
string ControlNode::retryAfter() const {
  std::ostringstream text;
  text << static_cast<double>(settings_.bounds.confirmWithin.count()) / 16000;
  return text.str();
}

/// Hands a call to the owner of a keyspace if that is another node.
Task<std::optional<CallReply>> ControlNode::elsewhere(string const& keyspace, ForwardCall q) {
  Ms const budget(q.budgetMs);
  ForwardLimits const limits{Ms(settings_.bounds.confirmWithin / 8), budget, budget};
  return forwardToOwner(driver_, rpc_, settings_.ip, keyspace, std::move(q), limits);
}

Task<Epoch> ControlNode::confirmOwner(string keyspace, TimePoint end) {
  Consensus const& consensus = driver_.consensus();
  Epoch const epoch = consensus.epochOf(keyspace);
  Ms const limit = std::min(Ms(settings_.bounds.inTouch / 3), Ms(remainingMs(end)));
  bool const sure = co_await driver_.confirmOwnership(keyspace, limit);
  if (!sure || !consensus.owns(keyspace) || consensus.epochOf(keyspace) != epoch) throw Error(ErrorCode::noQuorum);
  co_return epoch;
}

Task<CallReply> ControlNode::configurationCall(ForwardCall q) {
  if (q.verb != "PUT" && q.verb != "GET") throw Error(ErrorCode::methodNotAllowed);
  TimePoint const end = Clock::now() + Ms(q.budgetMs);
  if (std::optional<CallReply> r = co_await elsewhere("configuration", q)) co_return *r;
  q.budgetMs = remainingMs(end);
  if (q.verb == "PUT") co_return co_await putConfiguration(std::move(q));
  co_await confirmOwner("configuration", end);
  std::map<string, string> const& rows = driver_.consensus().committedValues("configuration");
  std::map<string, string>::const_iterator const current = rows.find(currentConfigurationKey);
  if (current == rows.end()) co_return CallReply{404, "{}"};
  co_return CallReply{200, current->second};
}

Task<void> ControlNode::awaitFirstMembership(TimePoint end) {
  TimePoint const until = started_ + Ms(settings_.bounds.inTouch);
  while (!driver_.survivesRequiredLosses() && Clock::now() < until &&
         !driver_.consensus().committedValues("configuration").count(currentConfigurationKey)) {
    if (Clock::now() >= end) throw Error(ErrorCode::notReady, "the membership is still too small");
    co_await sleepFor(Ms(settings_.bounds.inTouch / 60));
  }
}

Task<CallReply> ControlNode::putConfiguration(ForwardCall q) {
  TimePoint const end = Clock::now() + Ms(q.budgetMs);
  AsyncMutex::Lock const turn = co_await orders_.lock(Ms(q.budgetMs / 2));
  co_await awaitFirstMembership(end);
  Epoch const epoch = co_await confirmOwner("configuration", end);
  std::map<string, string> const& rows = driver_.consensus().committedValues("configuration");
  if (unsettled_.isOpen(epoch.number, rows)) throw Error(ErrorCode::changeUndecided, "an order before it is open");
  ChangeRequest const order{q.ifMatch, std::move(q.body)};
  ChangeDecision const decision = decideChange(rows, order);
  if (decision.verdict == ChangeVerdict::apply)
    co_await commit(decision, epoch);
  else if (decision.verdict != ChangeVerdict::acknowledgeAgain) {
    logInfo("configuration", string("an order was refused: ") + Error(decision.code, decision.detail).what());
    throw Error(decision.code, decision.detail);
  }
  co_return CallReply{200, "{}"};
}

Task<void> ControlNode::commit(ChangeDecision decision, Epoch epoch) {
  vector<KeyChange> changes;
  for (ChangeHistory::Row const& row : decision.rows) changes.push_back(KeyChange{row.key, row.value, false});
  unsettled_.begin(decision.id, epoch.number);
  OperationResult const result = co_await driver_.propose("configuration", std::move(changes));
  if (result != OperationResult::committed) throw Error(ErrorCode::changeUndecided);
  unsettled_.settle();
  driver_.onChange();
}

Task<CallReply> ControlNode::retire(ForwardCall q) {
  string const node = idInPath(q.path, "/retire/");
  if (q.verb != "POST" && q.verb != "GET") throw Error(ErrorCode::methodNotAllowed);
  if (q.verb == "POST") checkRetirement(q.body);
  TimePoint const end = Clock::now() + Ms(q.budgetMs);
  if (std::optional<CallReply> r = co_await elsewhere("members", q)) co_return *r;
  co_await confirmOwner("members", end);
  bool const asked = driver_.consensus().committedValues("members").count("retire/" + node) != 0;
  if (!asked && !coordinator_.knownStore(node)) throw Error(ErrorCode::unknownNode, node);
  if (q.verb == "POST" && !asked) {
    std::size_t left = 0;
    std::set<string> const going = coordinator_.retiring();
    for (StoreRef const& s : coordinator_.liveStores(Clock::now()))
      if (s.name != node && !going.count(s.name)) ++left;
    if (left < static_cast<std::size_t>(settings_.surviveMachines) + 1) throw Error(ErrorCode::tooFewStores);
    vector<KeyChange> changes(1, KeyChange{"retire/" + node, "1", false});
    OperationResult const result = co_await driver_.propose("members", std::move(changes));
    if (result != OperationResult::committed) throw Error(ErrorCode::changeUndecided);
    logInfo("control", node + " is to be emptied");
  }
  if (q.verb == "POST") co_return CallReply{200, "{}"};
  bool finished = false;
  if (asked) {
    std::uint64_t const relying = co_await coordinator_.reliesOn(node);
    finished = relying == 0;
  }
  co_return CallReply{200, finished ? "{\"state\":\"finished\"}" : "{\"state\":\"serving\"}"};
}

}  // namespace tealshelf
