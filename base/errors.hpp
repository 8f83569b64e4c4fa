#pragma once
#include <stdexcept>
#include <string>
#include <string_view>

namespace tealshelf {

/// What sort of error it is; status and reason of an answer follow from it.
enum class Kind {
  badInput,
  notFound,
  wrongVerb,
  conflict,
  stale,
  tooLarge,
  headTooLarge,
  slowSender,
  overQuota,
  refused,
  notNow,
  unclear,
  late,
  badSettings,
  disk
};

/// Numbered result codes; docs/errors.md holds the table.
enum class Code : int {
  unreadable = 100,
  unknownService = 101,
  samePlace = 102,
  noWeight = 103,
  noTimeLimit = 104,
  oldVersion = 105,
  wrongType = 106,
  outOfRange = 107,
  badPrefix = 108,
  lostRace = 109,
  badMatch = 110,
  orderTooOld = 111,
  orderOpen = 112,
  noRoute = 200,
  headTooLong = 201,
  bodyTooLong = 202,
  slowHead = 203,
  badHead = 204,
  noWorker = 205,
  workersFull = 206,
  workerBroke = 207,
  deadlinePassed = 208,
  deadlineBroken = 209,
  unhealthy = 210,
  lotUnreadable = 300,
  lotTooMany = 301,
  lotTwice = 302,
  lotBadBody = 303,
  lotOverQuota = 304,
  lotUnknown = 305,
  lotUnsure = 306,
  itemUnknown = 307,
  noStores = 308,
  staleStamp = 309,
  lotEnded = 310,
  noOwner = 400,
  noQuorum = 401,
  notMember = 402,
  unknownNode = 403,
  tooFewLeft = 404,
  lateBeat = 405,
  badBeat = 406,
  badId = 407,
  badRetirement = 408,
  wrongVerb = 409,
  noResource = 410,
  busy = 411,
  noPath = 500,
  connectionBroke = 501,
  timeUp = 502,
  badMessage = 503,
  otherProtocol = 504,
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
  diskRefuses = 607
};

/// One line of the table of codes.
struct CodeLine {
  Code code;
  Kind kind;
  std::string_view text;
};

/// The table, in order of number.
extern CodeLine const* const codeTable;
extern std::size_t const codeCount;
CodeLine const& lineOf(Code c);

/// Status of an answer for a kind of error.
int statusOf(Kind k);
/// Reason phrase of an answer for a kind of error.
std::string_view reasonOf(Kind k);

class Error;
/// The status a process ends with on an error at its start: 2 for bad settings, 4 for state files
/// of an unknown format, 3 for a disk.
int exitStatusOf(Error const& error);

/// Every error of tealshelf.
class Error : public std::runtime_error {
 public:
  explicit Error(Code c, std::string const& more = "");
  Code code() const { return code_; }
  Kind kind() const { return lineOf(code_).kind; }
  int status() const { return statusOf(kind()); }

 private:
  Code code_;
};

}  // namespace tealshelf
