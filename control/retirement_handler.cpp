#include "control/retirement_handler.hpp"

#include "control/call_input.hpp"

namespace tealshelf {

namespace {
string const retirementPrefix = "retire/";
}

RetirementHandler::RetirementHandler(Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                                     LotCoordinator& lots)
    : settings_(settings), driver_(driver), lots_(lots), keyspace_(settings, rpc, driver, membersKeyspace) {}

std::set<string> RetirementHandler::retiringStores(Consensus const& consensus) {
  std::set<string> names;
  std::optional<Values> const values = consensus.lastKnownValues(membersKeyspace);
  if (!values) return names;
  for (auto const& [key, value] : *values)
    if (key.starts_with(retirementPrefix)) names.insert(key.substr(retirementPrefix.size()));
  return names;
}

Task<CallReply> RetirementHandler::handle(ForwardedCall call) {
  string const node = idInPath(call.path, "/retire/");
  if (call.verb != "POST" && call.verb != "GET") throw Error(ErrorCode::methodNotAllowed);
  if (call.verb == "POST") checkRetirement(call.body);
  TimePoint const end = Clock::now() + Ms(call.budgetMs);
  std::optional<CallReply> const forwarded = co_await keyspace_.forward(call);
  if (forwarded) co_return *forwarded;
  co_await keyspace_.confirmOwnership(end);
  bool const isRetiring = keyspace_.values().contains(retirementPrefix + node);
  if (!isRetiring && !lots_.isKnownStore(node)) throw Error(ErrorCode::unknownNode, node);
  if (call.verb == "POST") {
    if (!isRetiring) {
      checkRemainingStores(node);
      vector<KeyChange> changes(1, KeyChange{retirementPrefix + node, "1", false});
      co_await keyspace_.commit(std::move(changes));
      logInfo("control", "store " + node + " is retiring; its lots move to other stores");
    }
    co_return CallReply{200, "{}"};
  }
  bool isEmpty = false;
  if (isRetiring) {
    std::uint64_t const lots = co_await lots_.countLotsRelyingOn(node);
    isEmpty = lots == 0;
  }
  co_return CallReply{200, isEmpty ? "{\"state\":\"finished\"}" : "{\"state\":\"serving\"}"};
}

void RetirementHandler::checkRemainingStores(string const& node) const {
  std::set<string> const retiring = retiringStores(driver_.consensus());
  std::size_t remaining = 0;
  for (StoreRef const& store : lots_.liveStores(Clock::now()))
    if (store.name != node && !retiring.contains(store.name)) ++remaining;
  if (remaining < static_cast<std::size_t>(settings_.surviveMachines) + 1) throw Error(ErrorCode::tooFewStores);
}

}  // namespace tealshelf
