#include "configuration/change_decision.hpp"

#include "configuration/configuration.hpp"

namespace tealshelf {

namespace {
ChangeDecision refuse(ChangeVerdict verdict, ErrorCode code, string const& detail) {
  ChangeDecision decision;
  decision.verdict = verdict;
  decision.code = code;
  decision.detail = detail;
  return decision;
}
}  // namespace

std::uint64_t currentVersion(std::map<string, string> const& values) {
  auto const current = values.find(currentConfigurationKey);
  return current == values.end() ? 0 : compileConfiguration(current->second)->version;
}

ChangeDecision decideChange(std::map<string, string> const& values, ChangeRequest const& request, HistoryShape shape) {
  ChangeDecision decision;
  std::optional<std::uint64_t> const base = parseNumber(request.ifMatch);
  if (!base) return refuse(ChangeVerdict::invalid, ErrorCode::badIfMatch, request.ifMatch.substr(0, 40));
  decision.id.baseVersion = *base;
  try {
    decision.id.digest = sha256(canonicalJson(request.body));
  } catch (Error const& error) {
    return refuse(ChangeVerdict::invalid, error.code(), error.what());
  }
  std::uint64_t const current = currentVersion(values);
  ChangeHistory const history(values, current, shape);
  if (AcceptedChange const* const accepted = history.find(decision.id)) {
    decision.verdict = ChangeVerdict::acknowledgeAgain;
    decision.version = accepted->version;
    return decision;
  }
  try {
    decision.version = compileConfiguration(request.body)->version;
  } catch (Error const& error) {
    return refuse(ChangeVerdict::invalid, error.code(), error.what());
  }
  if (history.mayHaveEvicted(*base)) return refuse(ChangeVerdict::tooOld, ErrorCode::changeTooOld, request.ifMatch);
  if (*base != current)
    return refuse(ChangeVerdict::conflict, ErrorCode::versionConflict,
                  "version " + std::to_string(current) + " is current, the change builds on " + request.ifMatch);
  if (decision.version <= current)
    return refuse(
        ChangeVerdict::invalid, ErrorCode::oldVersion,
        "version " + std::to_string(decision.version) + " isn't above the current " + std::to_string(current));
  decision.verdict = ChangeVerdict::apply;
  decision.rows.push_back(ChangeHistory::Row{currentConfigurationKey, request.body});
  decision.rows.push_back(history.append(decision.id, decision.version));
  return decision;
}

bool UndecidedChange::isOpen(std::uint64_t epoch, std::map<string, string> const& values) {
  if (!change_) return false;
  bool const epochPassed = epoch_ != epoch;
  if (epochPassed || ChangeHistory(values, currentVersion(values)).find(*change_)) change_.reset();
  return change_.has_value();
}

}  // namespace tealshelf
