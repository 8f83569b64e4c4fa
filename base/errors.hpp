#pragma once
#include <stdexcept>
#include <string>
#include <string_view>

namespace tealshelf {

/// What sort of error it is; status and reason of an answer follow from it. Only `rejected` and `unavailable`,
/// `overQuota` and `requestTimeout` promise that nothing ran or will run (503, 429, 408).
enum class ErrorKind {
  badInput,
  unauthorized,
  notFound,
  methodNotAllowed,
  conflict,
  preconditionFailed,
  tooLarge,
  headersTooLarge,
  requestTimeout,
  overQuota,
  rejected,
  unavailable,
  undetermined,
  timeout,
  badSettings,
  disk
};

/// Numbered result codes; docs/errors.md holds the table.
enum class ErrorCode : int {
  unreadable = 100,
  unknownService = 101,
  duplicateRoute = 102,
  zeroWeights = 103,
  zeroTimeLimit = 104,
  oldVersion = 105,
  wrongType = 106,
  outOfRange = 107,
  badPrefix = 108,
  versionConflict = 109,
  badIfMatch = 110,
  changeTooOld = 111,
  changeUndecided = 112,
  sharedKey = 113,
  badKey = 114,
  badTenant = 115,
  noRoute = 200,
  headersTooLong = 201,
  bodyTooLong = 202,
  headersTimeout = 203,
  badHeaders = 204,
  noWorker = 205,
  workersFull = 206,
  workerFailed = 207,
  deadlinePassed = 208,
  deadlineExceeded = 209,
  notReady = 210,
  unknownKey = 211,
  rateExceeded = 212,
  quotaUnknown = 213,
  lotUnreadable = 300,
  lotTooManyItems = 301,
  duplicateItem = 302,
  badItemPayload = 303,
  lotOverQuota = 304,
  lotUnknown = 305,
  lotStateUnknown = 306,
  itemUnknown = 307,
  noStores = 308,
  staleStamp = 309,
  lotEnded = 310,
  storeFull = 311,
  storesFull = 312,
  noOwner = 400,
  noQuorum = 401,
  notMember = 402,
  unknownNode = 403,
  tooFewStores = 404,
  staleHeartbeat = 405,
  badHeartbeat = 406,
  badId = 407,
  badRetirement = 408,
  methodNotAllowed = 409,
  unknownPath = 410,
  busy = 411,
  badRollout = 412,
  rolloutUnderWay = 413,
  unknownRollout = 414,
  unknownZone = 415,
  badAddition = 416,
  conflictingAddition = 417,
  talliesFull = 418,
  additionUndecided = 419,
  notConnected = 500,
  connectionLost = 501,
  timedOut = 502,
  badMessage = 503,
  protocolMismatch = 504,
  wrongProcess = 505,
  callFailed = 506,
  queueFull = 507,
  settingsMissing = 600,
  settingsInvalid = 601,
  diskFailed = 602,
  recordTorn = 603,
  recordCorrupt = 604,
  badArguments = 605,
  unknownFormat = 606,
  diskUnavailable = 607
};

/// One line of the table of codes.
struct ErrorInfo {
  ErrorCode code;
  ErrorKind kind;
  std::string_view text;
};

/// The table, in order of number.
extern ErrorInfo const* const errorTable;
extern std::size_t const errorTableSize;
/// The line of a code; the first line for a number that isn't in the table.
ErrorInfo const& errorInfo(ErrorCode code);

/// Status of an answer for a kind of error.
int httpStatusOf(ErrorKind kind);
/// Reason phrase of an answer for a kind of error.
std::string_view httpReasonOf(ErrorKind kind);

class Error;
/// The status a process ends with on an error at its start: 2 for bad settings, 4 for state files
/// of an unknown format, 3 for a disk.
int exitStatusOf(Error const& error);

/// Every error of tealshelf. Its text holds the number, the line of the table, and a detail if there is one.
class Error : public std::runtime_error {
 public:
  explicit Error(ErrorCode code, std::string const& detail = "");
  ErrorCode code() const { return code_; }
  ErrorKind kind() const { return errorInfo(code_).kind; }
  int status() const { return httpStatusOf(kind()); }

 private:
  ErrorCode code_;
};

}  // namespace tealshelf
