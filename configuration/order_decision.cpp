#include "configuration/order_decision.hpp"

#include "configuration/configuration.hpp"

namespace tealshelf {

namespace {
Decision refuse(OrderVerdict verdict, ErrorCode code, string const& detail) {
  Decision decision;
  decision.verdict = verdict;
  decision.code = code;
  decision.detail = detail;
  return decision;
}
}  // namespace

std::uint64_t currentVersion(std::map<string, string> const& rows) {
  std::map<string, string>::const_iterator const current = rows.find(currentKey);
  return current == rows.end() ? 0 : compileConfiguration(current->second)->version;
}

Decision decide(std::map<string, string> const& rows, Order const& order, HistoryShape shape) {
  Decision decision;
  std::optional<std::uint64_t> const base = parseNumber(order.ifMatch);
  if (!base) return refuse(OrderVerdict::invalid, ErrorCode::badIfMatch, order.ifMatch.substr(0, 40));
  decision.identity.base = *base;
  try {
    decision.identity.digest = sha256(canonicalJson(order.body));
  } catch (Error const& error) {
    return refuse(OrderVerdict::invalid, error.code(), error.what());
  }
  std::uint64_t const current = currentVersion(rows);
  OrderHistory const history(rows, current, shape);
  if (TakenOrder const* const taken = history.find(decision.identity)) {
    decision.verdict = OrderVerdict::acknowledgeAgain;
    decision.version = taken->version;
    return decision;
  }
  try {
    decision.version = compileConfiguration(order.body)->version;
  } catch (Error const& error) {
    return refuse(OrderVerdict::invalid, error.code(), error.what());
  }
  if (history.forgotten(decision.identity.base))
    return refuse(OrderVerdict::tooOld, ErrorCode::changeTooOld, order.ifMatch);
  if (decision.identity.base != current)
    return refuse(OrderVerdict::lostRace, ErrorCode::versionConflict,
                  "version " + std::to_string(current) + " is current");
  if (decision.version <= current)
    return refuse(OrderVerdict::invalid, ErrorCode::oldVersion, std::to_string(decision.version));
  decision.verdict = OrderVerdict::apply;
  decision.rows.push_back(OrderHistory::Row{currentKey, order.body});
  decision.rows.push_back(history.append(decision.identity, decision.version));
  return decision;
}

bool UnsettledOrder::open(std::uint64_t epoch, std::map<string, string> const& rows) {
  if (!order_) return false;
  if (epoch_ != epoch || OrderHistory(rows, currentVersion(rows)).find(*order_)) order_.reset();
  return order_.has_value();
}

}  // namespace tealshelf
