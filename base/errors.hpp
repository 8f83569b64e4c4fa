#pragma once
#include <stdexcept>
#include <string>
#include <string_view>

namespace tealshelf {

/// Category of an error; it determines status and reason phrase of an HTTP answer. Only `rejected` and `unavailable`
/// (503), `overQuota` (429) and `requestTimeout` (408) guarantee that nothing ran or will run.
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

/// Error codes; docs/errors.md documents them.
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
  overloaded = 214,
  answerNotHeld = 215,
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

/// One entry of the table of error codes.
struct ErrorInfo {
  ErrorCode code;
  ErrorKind kind;
  std::string_view text;
};

/// The table of error codes, in ascending order.
extern ErrorInfo const* const errorTable;
extern std::size_t const errorTableSize;
/// The entry of a code; the first entry if the code isn't in the table.
ErrorInfo const& errorInfo(ErrorCode code);

/// HTTP status of an error kind.
int httpStatusOf(ErrorKind kind);
/// HTTP reason phrase of an error kind.
std::string_view httpReasonOf(ErrorKind kind);

class Error;
/// Exit status of a process that fails at startup: 2 for invalid settings, 4 for state files of an unknown format, 3
/// for any other error, such as a disk failure.
int exitStatusOf(Error const& error);

/// The exception type of tealshelf. Its message holds the code, the text of the code, and a detail if there is one.
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
