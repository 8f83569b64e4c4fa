#pragma once
#include "configuration/change_history.hpp"

/// The decision on a configuration change, as a pure function of the committed state and the request.
namespace tealshelf {

/// A request to change the configuration, as received.
struct ChangeRequest {
  string ifMatch;  ///< the If-Match header: the version that the change builds on
  string body;
};

enum class ChangeVerdict {
  acknowledgeAgain,  ///< the change was accepted before; it is acknowledged and changes nothing
  apply,             ///< the change is written, and acknowledged once a majority has it
  invalid,           ///< the change is permanently refused with the error code
  conflict,          ///< the change is permanently refused: another version is current
  tooOld             ///< its base is older than the history, so it may have been accepted before
};

struct ChangeDecision {
  ChangeVerdict verdict = ChangeVerdict::invalid;
  ErrorCode code = ErrorCode::unreadable;  ///< why a change isn't accepted
  string detail;                           ///< for the log
  ChangeId id;                             ///< valid if the request could be parsed
  std::uint64_t version = 0;               ///< the version that a valid change installs
  vector<ChangeHistory::Row> rows;         ///< for a change to apply: the rows to write in one transaction
};

/// Key of the current configuration in its keyspace.
inline constexpr char const* currentConfigurationKey = "current";

/// The version of the current configuration among the committed values; 0 if there is none yet.
std::uint64_t currentVersion(std::map<string, string> const& values);

/// Decides on a change from the committed values of the configuration's keyspace.
ChangeDecision decideChange(std::map<string, string> const& values, ChangeRequest const& request,
                            HistoryShape shape = HistoryShape());

/// Blocks decisions while the outcome of a written change is unknown.
///
/// A write without a known outcome may still be committed in the owner's epoch. Until the epoch has ended, or the
/// change is in the committed history, the committed values may lack a change that takes effect, so no other change may
/// be decided from them.
class UndecidedChange {
 public:
  void begin(ChangeId const& change, std::uint64_t epoch) {
    change_ = change;
    epoch_ = epoch;
  }
  void settle() { change_.reset(); }
  /// True while the outcome is unknown, given the current epoch and the committed values.
  bool isOpen(std::uint64_t epoch, std::map<string, string> const& values);

 private:
  std::optional<ChangeId> change_;
  std::uint64_t epoch_ = 0;
};

}  // namespace tealshelf
