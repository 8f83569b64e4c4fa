#include "base/tealshelf.hpp"

namespace tealshelf {

namespace {
constexpr ErrorInfo table[] = {
    {ErrorCode::unreadable, ErrorKind::badInput, "the configuration can't be read whole"},
    {ErrorCode::unknownService, ErrorKind::badInput, "a route names an unknown service"},
    {ErrorCode::duplicateRoute, ErrorKind::badInput, "two routes share host and prefix"},
    {ErrorCode::zeroWeights, ErrorKind::badInput, "a route's weights add up to 0"},
    {ErrorCode::zeroTimeLimit, ErrorKind::badInput, "a time limit is 0"},
    {ErrorCode::oldVersion, ErrorKind::badInput, "the version is not above the current one"},
    {ErrorCode::wrongType, ErrorKind::badInput, "a field has the wrong type"},
    {ErrorCode::outOfRange, ErrorKind::badInput, "a number is out of its range"},
    {ErrorCode::badPrefix, ErrorKind::badInput, "a prefix doesn't begin and end with a slash"},
    {ErrorCode::versionConflict, ErrorKind::preconditionFailed, "another version is in place"},
    {ErrorCode::badIfMatch, ErrorKind::badInput, "If-Match is missing or isn't the number of a version"},
    {ErrorCode::changeTooOld, ErrorKind::unavailable,
     "the order builds on a version older than the history; whether it was taken isn't known"},
    {ErrorCode::changeUndecided, ErrorKind::unavailable,
     "whether the order was taken isn't known yet; it may be sent again"},
    {ErrorCode::sharedKey, ErrorKind::badInput, "two tenants share a key"},
    {ErrorCode::badKey, ErrorKind::badInput, "a key is empty or can't stand in a header"},
    {ErrorCode::badTenant, ErrorKind::badInput, "a tenant's name is empty, not unique or can't stand in a header"},
    {ErrorCode::noRoute, ErrorKind::notFound, "no route matches"},
    {ErrorCode::headersTooLong, ErrorKind::headersTooLarge, "the head is over the limit"},
    {ErrorCode::bodyTooLong, ErrorKind::tooLarge, "the body is over the limit"},
    {ErrorCode::headersTimeout, ErrorKind::requestTimeout, "the head took too long"},
    {ErrorCode::badHeaders, ErrorKind::badInput, "the head is malformed"},
    {ErrorCode::noWorker, ErrorKind::rejected, "no worker is known for the service"},
    {ErrorCode::workersFull, ErrorKind::rejected, "every worker turned the request away"},
    {ErrorCode::workerFailed, ErrorKind::undetermined, "a worker broke off; the request may have run"},
    {ErrorCode::deadlinePassed, ErrorKind::rejected, "the deadline passed before the request ran"},
    {ErrorCode::deadlineExceeded, ErrorKind::timeout, "the deadline passed while a worker had the request"},
    {ErrorCode::notReady, ErrorKind::rejected, "the node is not healthy enough to serve"},
    {ErrorCode::unknownKey, ErrorKind::unauthorized, "the request carries no key that is known"},
    {ErrorCode::rateExceeded, ErrorKind::overQuota, "the tenant is over its rate"},
    {ErrorCode::quotaUnknown, ErrorKind::rejected, "no control node could count the request"},
    {ErrorCode::overloaded, ErrorKind::rejected, "the node has no room for the request"},
    {ErrorCode::answerNotHeld, ErrorKind::undetermined, "the node has no room for the worker's answer"},
    {ErrorCode::lotUnreadable, ErrorKind::badInput, "the lot can't be read"},
    {ErrorCode::lotTooManyItems, ErrorKind::tooLarge, "the lot has too many items"},
    {ErrorCode::duplicateItem, ErrorKind::badInput, "an item stands twice in the lot"},
    {ErrorCode::badItemPayload, ErrorKind::badInput, "an item's payload is not base64"},
    {ErrorCode::lotOverQuota, ErrorKind::overQuota, "the lot doesn't fit the route's waiting tokens"},
    {ErrorCode::lotUnknown, ErrorKind::notFound, "there is no such lot"},
    {ErrorCode::lotStateUnknown, ErrorKind::rejected, "the node can't be sure of the lot"},
    {ErrorCode::itemUnknown, ErrorKind::notFound, "there is no such item in the lot"},
    {ErrorCode::noStores, ErrorKind::rejected, "too few stores for safe copies"},
    {ErrorCode::staleStamp, ErrorKind::preconditionFailed, "the stamp doesn't match"},
    {ErrorCode::lotEnded, ErrorKind::conflict, "the lot was ended"},
    {ErrorCode::storeFull, ErrorKind::rejected, "the store has no room for another replica"},
    {ErrorCode::storesFull, ErrorKind::rejected, "the stores have no room for another lot and the losses to survive"},
    {ErrorCode::noOwner, ErrorKind::rejected, "the keyspace has no owner just now"},
    {ErrorCode::noQuorum, ErrorKind::undetermined, "no majority answered in time"},
    {ErrorCode::notMember, ErrorKind::rejected, "the node is not in the membership"},
    {ErrorCode::unknownNode, ErrorKind::notFound, "there is no such machine"},
    {ErrorCode::tooFewStores, ErrorKind::conflict, "too few machines would be left"},
    {ErrorCode::staleHeartbeat, ErrorKind::conflict, "a newer heartbeat was taken before"},
    {ErrorCode::badHeartbeat, ErrorKind::badInput, "the heartbeat can't be read"},
    {ErrorCode::badId, ErrorKind::badInput, "the id in the path is malformed"},
    {ErrorCode::badRetirement, ErrorKind::badInput, "the retirement's overS is missing or isn't a time"},
    {ErrorCode::methodNotAllowed, ErrorKind::methodNotAllowed, "the resource doesn't have this method"},
    {ErrorCode::unknownPath, ErrorKind::notFound, "there is no such resource"},
    {ErrorCode::busy, ErrorKind::rejected, "too many calls wait for the same thing"},
    {ErrorCode::badRollout, ErrorKind::badInput, "the order of a rollout can't be read or names no known service"},
    {ErrorCode::rolloutUnderWay, ErrorKind::conflict, "another rollout of the service is under way"},
    {ErrorCode::unknownRollout, ErrorKind::notFound, "the service has no rollout"},
    {ErrorCode::unknownZone, ErrorKind::notFound, "there is no such zone"},
    {ErrorCode::badAddition, ErrorKind::badInput, "the addition to a tally can't be read"},
    {ErrorCode::conflictingAddition, ErrorKind::conflict, "the id came before with another change"},
    {ErrorCode::talliesFull, ErrorKind::rejected, "the disk has no room for more additions to tallies"},
    {ErrorCode::additionUndecided, ErrorKind::undetermined,
     "the addition isn't on enough disks yet; it may be sent again and is counted once"},
    {ErrorCode::notConnected, ErrorKind::rejected, "the other node can't be reached"},
    {ErrorCode::connectionLost, ErrorKind::undetermined, "the connection to the other node broke"},
    {ErrorCode::timedOut, ErrorKind::undetermined, "the other node didn't answer in time"},
    {ErrorCode::badMessage, ErrorKind::badInput, "a message can't be read"},
    {ErrorCode::protocolMismatch, ErrorKind::undetermined, "the other node speaks another version"},
    {ErrorCode::wrongProcess, ErrorKind::undetermined, "another process has the address"},
    {ErrorCode::callFailed, ErrorKind::undetermined, "the other node failed in the call"},
    {ErrorCode::queueFull, ErrorKind::rejected, "too much waits for the other node"},
    {ErrorCode::settingsMissing, ErrorKind::badSettings, "the settings file can't be read"},
    {ErrorCode::settingsInvalid, ErrorKind::badSettings, "a field of the settings file is bad"},
    {ErrorCode::diskFailed, ErrorKind::disk, "the disk failed"},
    {ErrorCode::recordTorn, ErrorKind::disk, "a record at the end of a log is torn"},
    {ErrorCode::recordCorrupt, ErrorKind::disk, "a record in the middle of a log is corrupt"},
    {ErrorCode::badArguments, ErrorKind::badInput, "the arguments are bad"},
    {ErrorCode::unknownFormat, ErrorKind::disk, "the state files have a format that this release doesn't know"},
    {ErrorCode::diskUnavailable, ErrorKind::rejected, "the disk is full, fails or doesn't answer"},
};

struct HttpStatus {
  ErrorKind kind;
  int status;
  std::string_view reason;
};
constexpr HttpStatus httpStatuses[] = {
    {ErrorKind::badInput, 400, "Bad Request"},
    {ErrorKind::unauthorized, 401, "Unauthorized"},
    {ErrorKind::notFound, 404, "Not Found"},
    {ErrorKind::methodNotAllowed, 405, "Method Not Allowed"},
    {ErrorKind::requestTimeout, 408, "Request Timeout"},
    {ErrorKind::conflict, 409, "Conflict"},
    {ErrorKind::preconditionFailed, 412, "Precondition Failed"},
    {ErrorKind::tooLarge, 413, "Payload Too Large"},
    {ErrorKind::overQuota, 429, "Too Many Requests"},
    {ErrorKind::headersTooLarge, 431, "Request Header Fields Too Large"},
    {ErrorKind::badSettings, 500, "Internal Server Error"},
    {ErrorKind::disk, 500, "Internal Server Error"},
    {ErrorKind::undetermined, 502, "Bad Gateway"},
    {ErrorKind::rejected, 503, "Service Unavailable"},
    {ErrorKind::unavailable, 503, "Service Unavailable"},
    {ErrorKind::timeout, 504, "Gateway Timeout"},
};

HttpStatus const& find(ErrorKind kind) {
  for (HttpStatus const& entry : httpStatuses)
    if (entry.kind == kind) return entry;
  return httpStatuses[0];
}

string messageOf(ErrorCode code, string const& detail) {
  string const message = "E" + std::to_string(static_cast<int>(code)) + " " + string(errorInfo(code).text);
  return detail.empty() ? message : message + ": " + detail;
}
}  // namespace

ErrorInfo const* const errorTable = table;
std::size_t const errorTableSize = sizeof table / sizeof table[0];

ErrorInfo const& errorInfo(ErrorCode code) {
  for (ErrorInfo const& entry : table)
    if (entry.code == code) return entry;
  return table[0];
}

int httpStatusOf(ErrorKind kind) {
  return find(kind).status;
}

std::string_view httpReasonOf(ErrorKind kind) {
  return find(kind).reason;
}

int exitStatusOf(Error const& error) {
  if (error.code() == ErrorCode::unknownFormat) return 4;
  return error.kind() == ErrorKind::badSettings ? 2 : 3;
}

Error::Error(ErrorCode code, std::string const& detail) : std::runtime_error(messageOf(code, detail)), code_(code) {}

}  // namespace tealshelf
