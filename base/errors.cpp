#include "base/tealshelf.hpp"

namespace tealshelf {

namespace {
constexpr CodeLine table[] = {
    {Code::unreadable, Kind::badInput, "the configuration can't be read whole"},
    {Code::unknownService, Kind::badInput, "a route names an unknown service"},
    {Code::samePlace, Kind::badInput, "two routes share host and prefix"},
    {Code::noWeight, Kind::badInput, "a route's weights add up to 0"},
    {Code::noTimeLimit, Kind::badInput, "a time limit is 0"},
    {Code::oldVersion, Kind::badInput, "the version is not above the current one"},
    {Code::wrongType, Kind::badInput, "a field has the wrong type"},
    {Code::outOfRange, Kind::badInput, "a number is out of its range"},
    {Code::badPrefix, Kind::badInput, "a prefix doesn't begin and end with a slash"},
    {Code::lostRace, Kind::stale, "another version is in place"},
    {Code::badMatch, Kind::badInput, "If-Match is missing or isn't the number of a version"},
    {Code::orderTooOld, Kind::notNow,
     "the order builds on a version older than the history; whether it was taken isn't known"},
    {Code::orderOpen, Kind::notNow, "whether the order was taken isn't known yet; it may be sent again"},
    {Code::noRoute, Kind::notFound, "no route matches"},
    {Code::headTooLong, Kind::headTooLarge, "the head is over the limit"},
    {Code::bodyTooLong, Kind::tooLarge, "the body is over the limit"},
    {Code::slowHead, Kind::slowSender, "the head took too long"},
    {Code::badHead, Kind::badInput, "the head is malformed"},
    {Code::noWorker, Kind::refused, "no worker is known for the service"},
    {Code::workersFull, Kind::refused, "every worker turned the request away"},
    {Code::workerBroke, Kind::unclear, "a worker broke off; the request may have run"},
    {Code::deadlinePassed, Kind::refused, "the deadline passed before the request ran"},
    {Code::deadlineBroken, Kind::late, "the deadline passed while a worker had the request"},
    {Code::unhealthy, Kind::refused, "the node is not healthy enough to serve"},
    {Code::lotUnreadable, Kind::badInput, "the lot can't be read"},
    {Code::lotTooMany, Kind::tooLarge, "the lot has too many items"},
    {Code::lotTwice, Kind::badInput, "an item stands twice in the lot"},
    {Code::lotBadBody, Kind::badInput, "an item's payload is not base64"},
    {Code::lotOverQuota, Kind::overQuota, "the lot doesn't fit the route's waiting tokens"},
    {Code::lotUnknown, Kind::notFound, "there is no such lot"},
    {Code::lotUnsure, Kind::refused, "the node can't be sure of the lot"},
    {Code::itemUnknown, Kind::notFound, "there is no such item in the lot"},
    {Code::noStores, Kind::refused, "too few stores for safe copies"},
    {Code::staleStamp, Kind::stale, "the stamp doesn't match"},
    {Code::lotEnded, Kind::conflict, "the lot was ended"},
    {Code::noOwner, Kind::refused, "the keyspace has no owner just now"},
    {Code::noQuorum, Kind::unclear, "no majority answered in time"},
    {Code::notMember, Kind::refused, "the node is not in the membership"},
    {Code::unknownNode, Kind::notFound, "there is no such machine"},
    {Code::tooFewLeft, Kind::conflict, "too few machines would be left"},
    {Code::lateBeat, Kind::conflict, "a newer beat was taken before"},
    {Code::badBeat, Kind::badInput, "the beat can't be read"},
    {Code::badId, Kind::badInput, "the id in the path is malformed"},
    {Code::badRetirement, Kind::badInput, "the retirement's overS is missing or isn't a time"},
    {Code::wrongVerb, Kind::wrongVerb, "the resource doesn't have this method"},
    {Code::noResource, Kind::notFound, "there is no such resource"},
    {Code::busy, Kind::refused, "too many calls wait for the same thing"},
    {Code::noPath, Kind::refused, "the other node can't be reached"},
    {Code::connectionBroke, Kind::unclear, "the connection to the other node broke"},
    {Code::timeUp, Kind::unclear, "the other node didn't answer in time"},
    {Code::badMessage, Kind::badInput, "a message can't be read"},
    {Code::otherProtocol, Kind::unclear, "the other node speaks another version"},
    {Code::wrongProcess, Kind::unclear, "another process has the address"},
    {Code::callFailed, Kind::unclear, "the other node failed in the call"},
    {Code::queueFull, Kind::refused, "too much waits for the other node"},
    {Code::settingsMissing, Kind::badSettings, "the settings file can't be read"},
    {Code::settingsInvalid, Kind::badSettings, "a field of the settings file is bad"},
    {Code::diskFailed, Kind::disk, "the disk failed"},
    {Code::recordTorn, Kind::disk, "a record at the end of a log is torn"},
    {Code::recordCorrupt, Kind::disk, "a record in the middle of a log is corrupt"},
    {Code::badArguments, Kind::badInput, "the arguments are bad"},
    {Code::unknownFormat, Kind::disk, "the state files have a format that this release doesn't know"},
    {Code::diskRefuses, Kind::refused, "the disk is full, fails or doesn't answer"},
};

struct Answer {
  Kind kind;
  int status;
  std::string_view reason;
};
constexpr Answer answers[] = {
    {Kind::badInput, 400, "Bad Request"},        {Kind::notFound, 404, "Not Found"},
    {Kind::conflict, 409, "Conflict"},           {Kind::stale, 412, "Precondition Failed"},
    {Kind::tooLarge, 413, "Payload Too Large"},  {Kind::headTooLarge, 431, "Request Header Fields Too Large"},
    {Kind::slowSender, 408, "Request Timeout"},  {Kind::overQuota, 429, "Too Many Requests"},
    {Kind::refused, 503, "Service Unavailable"}, {Kind::unclear, 502, "Bad Gateway"},
    {Kind::notNow, 503, "Service Unavailable"},  {Kind::wrongVerb, 405, "Method Not Allowed"},
    {Kind::late, 504, "Gateway Timeout"},        {Kind::badSettings, 500, "Internal Server Error"},
    {Kind::disk, 500, "Internal Server Error"},
};
Answer const& answerOf(Kind k) {
  for (Answer const& a : answers)
    if (a.kind == k) return a;
  return answers[0];
}
}  // namespace

CodeLine const* const codeTable = table;
std::size_t const codeCount = sizeof table / sizeof table[0];

CodeLine const& lineOf(Code c) {
  for (CodeLine const& l : table)
    if (l.code == c) return l;
  return table[0];
}
int statusOf(Kind k) {
  return answerOf(k).status;
}
std::string_view reasonOf(Kind k) {
  return answerOf(k).reason;
}

int exitStatusOf(Error const& error) {
  if (error.code() == Code::unknownFormat) return 4;
  return error.kind() == Kind::badSettings ? 2 : 3;
}

Error::Error(Code c, std::string const& more)
    : std::runtime_error("E" + std::to_string(static_cast<int>(c)) + " " + string(lineOf(c).text) +
                         (more.empty() ? "" : ": " + more)),
      code_(c) {}

}  // namespace tealshelf
