#pragma once
#include "configuration/change_history.hpp"

/// The decision on a configuration change, as a pure function of the committed state and the request.
namespace tealshelf {

/// A request to change the configuration, as it came.
struct ChangeRequest {
  string ifMatch;  ///< the header: the version that the change builds on
  string body;
};

enum class ChangeVerdict {
  acknowledgeAgain,  ///< it was accepted before; it is confirmed and changes nothing
  apply,             ///< it shall be written, and be confirmed once a majority has it
  invalid,           ///< it is refused for good with the code
  conflict,          ///< it is refused for good: another version is current
  tooOld             ///< its base is older than the history; whether it was accepted isn't known
};

struct ChangeDecision {
  ChangeVerdict verdict = ChangeVerdict::invalid;
  ErrorCode code = ErrorCode::unreadable;  ///< why a change is refused or left open
  string detail;                           ///< for the log
  ChangeId id;                             ///< of a readable change
  std::uint64_t version = 0;               ///< that a valid change brings
  vector<ChangeHistory::Row> rows;         ///< to write, at once, for a change that shall be applied
};

/// Key of the current configuration in its keyspace.
inline constexpr char const* currentConfigurationKey = "current";

/// The version of the current configuration among the committed values; 0 if there is none yet.
std::uint64_t currentVersion(std::map<string, string> const& values);

/// Decides on a change by the committed values of the configuration's keyspace.
ChangeDecision decideChange(std::map<string, string> const& values, ChangeRequest const& request,
                            HistoryShape shape = HistoryShape());

/// Bars decisions while the end of a written change is unknown.
///
/// A write whose end this owner doesn't know may still be committed in its epoch. Until the epoch has passed, or the
/// change stands in the committed history, the committed values say less than what may be in force, and no other
/// change may be decided by them.
class UndecidedChange {
 public:
  void begin(ChangeId const& change, std::uint64_t epoch) {
    change_ = change;
    epoch_ = epoch;
  }
  void settle() { change_.reset(); }
  /// True while the change's end is open in this epoch, by the committed values.
  bool isOpen(std::uint64_t epoch, std::map<string, string> const& values);

 private:
  std::optional<ChangeId> change_;
  std::uint64_t epoch_ = 0;
};

}  // namespace tealshelf
