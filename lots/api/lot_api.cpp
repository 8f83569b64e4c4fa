#include "lots/api/lot_api.hpp"

#include "lots/api/lot_parser.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace tealshelf {

namespace {
/// Size of a page of results.
constexpr std::uint64_t maxPageBytes = 900u << 10;
/// Control nodes that one request tries.
constexpr int maxControlNodes = 3;
/// Retries with another primary after creating the replicas failed.
constexpr int maxPlacementRetries = 1;
constexpr std::size_t maxCachedLots = 4096;
string const lotsPath = "/lots/", itemsPath = "/items/";

string queryParameter(string_view target, string_view name) {
  std::size_t const query = target.find('?');
  if (query == string_view::npos) return "";
  for (string const& parameter : split(target.substr(query + 1), '&'))
    if (parameter.starts_with(string(name) + "=")) return parameter.substr(name.size() + 1);
  return "";
}

/// True if no other control node would give a better answer.
bool shouldStopRetrying(Error const& error) {
  return error.kind() == ErrorKind::notFound || error.kind() == ErrorKind::overQuota ||
         error.code() == ErrorCode::staleStamp || error.code() == ErrorCode::noStores ||
         error.code() == ErrorCode::storesFull;
}

bool isConnectionFailure(Error const& error) {
  return error.code() == ErrorCode::notConnected || error.code() == ErrorCode::connectionLost ||
         error.code() == ErrorCode::timedOut;
}

/// True for an error about the lot or the client's request. Any other error arose between nodes of the system and says
/// nothing about the lot, whatever its kind.
bool isClientError(Error const& error) {
  return error.code() == ErrorCode::lotUnknown || error.code() == ErrorCode::itemUnknown ||
         error.code() == ErrorCode::lotUnreadable;
}

/// True for an error by which the coordinator promises that no item of a submitted lot runs.
bool isRefusal(Error const& error) {
  return error.code() == ErrorCode::lotOverQuota || error.code() == ErrorCode::rateExceeded ||
         error.code() == ErrorCode::storesFull;
}

void writeText(rapidjson::Writer<rapidjson::StringBuffer>& writer, char const* name, string const& value) {
  writer.Key(name);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

string resultsAsJson(ReadResultsReply const& page, std::uint64_t from) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("total");
  writer.Uint64(page.total);
  writer.Key("nextToken");
  writer.Uint64(from + page.results.size());
  writer.Key("outputs");
  writer.StartArray();
  for (std::size_t i = 0; i < page.results.size(); ++i) {
    writer.StartObject();
    writeText(writer, "serverId", page.itemIds[i]);
    writeText(writer, "state", page.results[i].finished ? "finished" : "given_up");
    writeText(writer, "message", page.results[i].text);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return string(buffer.GetString(), buffer.GetSize());
}
}  // namespace

bool LotApi::isLotRequest(Configuration const& configuration, string_view verb, string_view host,
                          string_view path) const {
  bool const aboutLot = path.starts_with(lotsPath) && (verb == "GET" || verb == "DELETE");
  bool const aboutItem = path.starts_with(itemsPath) && verb == "GET";
  if (!aboutLot && !aboutItem) return false;
  for (Route const& route : configuration.routes)
    if (route.kind == RouteKind::bulk && route.host == host) return true;
  return configuration.findRoute(host, path) == nullptr;
}

template <class Request>
Task<typename Request::Reply> LotApi::askCoordinator(Request request, Ms limit) {
  std::optional<Error> last;
  vector<Address> const controls = view_.controlAddresses();
  int asked = 0;
  for (Address const& control : controls) {
    if (++asked > maxControlNodes) break;
    try {
      typename Request::Reply reply = co_await rpc_.call(control, request, limit);
      view_.noteControlAnswered(control);
      co_return reply;
    } catch (Error const& error) {
      if (isConnectionFailure(error)) view_.noteControlFailed(control);
      if (shouldStopRetrying(error)) throw;
      last = error;
    }
  }
  throw last ? *last : Error(ErrorCode::notConnected);
}

Task<void> LotApi::place(OpenLot request, string items) {
  Ms const limit = settings_.bounds.inTouch / 5;
  for (int retries = 0;; ++retries) {
    OpenLotReply const opened = co_await askCoordinator(request, limit);
    if (opened.alreadyAccepted) co_return;
    LotRecord const& lot = opened.lot;
    std::optional<Error> failure;
    try {
      CreateReplica const create{lot, items, {}, true};
      co_await rpc_.call(lot.holders[0].address, create, limit);
    } catch (Error const& error) {
      failure = error;
    }
    if (!failure) {
      AcceptLot const accept{lot.host, lot.id, lot.stamp, 0};
      co_await askCoordinator(accept, limit);
      co_return;
    }
    // Retries with another primary. The stamp of this attempt is never accepted.
    if (retries >= maxPlacementRetries) throw *failure;
    request.excluded.push_back(lot.holders[0].id);
  }
}

LotRecord LotApi::recordOf(LotSubmission const& submission, vector<ItemRecord> const& items) {
  Route const& route = submission.route;
  LotRecord lot;
  lot.id = scopedLotId(submission.tenant, submission.id);
  lot.tenant = submission.tenant;
  lot.host = route.host;
  lot.route = route.name;
  lot.routePrefix = route.prefix;
  lot.configurationVersion = submission.configurationVersion;
  lot.keepForMs = route.keepFor.count();
  lot.dueInMs = route.dueIn.count();
  lot.itemCount = items.size();
  lot.tries = route.tries;
  for (ItemRecord const& item : items) lot.tokens += item.tokens;
  return lot;
}

Task<HttpReply> LotApi::submit(LotSubmission submission, string const& body) {
  vector<ItemRecord> items = parseLot(body);
  if (!view_.isFresh()) throw Error(ErrorCode::lotStateUnknown);
  if (submission.id.empty()) throw Error(ErrorCode::lotUnreadable, "the lot has no id");
  OpenLot request;
  request.lot = recordOf(submission, items);
  request.maxQueuedTokens = submission.route.maxQueuedTokens;
  string serializedItems = serialize(items);
  request.itemBytes = serializedItems.size();
  items.clear();
  try {
    co_await place(std::move(request), std::move(serializedItems));
  } catch (Error const& error) {
    // These errors are raised before anything is recorded, so the client may safely submit the lot again.
    if (isRefusal(error)) {
      HttpReply answer = errorReply(error);
      answer.headers.emplace_back("Retry-After", "0.5");
      co_return answer;
    }
    // Any other error leaves open whether the lot was accepted.
    logDebug("lots", string("submitting a lot failed; it may have been accepted: ") + error.what());
    HttpReply answer = errorReply(error);
    answer.status = 500;
    co_return answer;
  }
  co_return HttpReply{202, "{}", "application/json", {}};
}

Task<LotRecord> LotApi::findLot(LotKey key, bool refresh) {
  auto const known = cachedLots_.find(key);
  if (!refresh && known != cachedLots_.end()) co_return known->second;
  FindLot const request{key.host, key.id, 0};
  FindLotReply const reply = co_await askCoordinator(request, settings_.bounds.settleWithin / 2);
  if (!reply.known) throw Error(ErrorCode::lotUnknown);
  cacheLot(reply.lot);
  co_return reply.lot;
}

void LotApi::cacheLot(LotRecord const& lot) {
  if (cachedLots_.size() >= maxCachedLots) cachedLots_.clear();
  cachedLots_[lot.key()] = lot;
}

Task<HttpReply> LotApi::call(LotCaller caller, string verb, string target, Ms hold) {
  string_view const path = string_view(target).substr(0, target.find('?'));
  try {
    if (!view_.isFresh()) throw Error(ErrorCode::lotStateUnknown);
    if (path.starts_with(itemsPath)) {
      LotKey const key{caller.host, scopedLotId(caller.tenant, path.substr(itemsPath.size()))};
      co_return co_await readItem(key, queryParameter(target, "serverId"));
    }
    LotKey const key{caller.host, scopedLotId(caller.tenant, path.substr(lotsPath.size()))};
    if (verb == "DELETE") co_return co_await endLot(key);
    string const startAfter = queryParameter(target, "startAfter");
    std::optional<std::uint64_t> const from = startAfter.empty() ? 0 : parseNumber(startAfter);
    if (!from) throw Error(ErrorCode::lotUnreadable, "startAfter is not a number");
    co_return co_await listResults(key, *from, hold);
  } catch (Error const& error) {
    if (isClientError(error)) co_return errorReply(error);
    logDebug("lots", verb + " " + target + " failed: " + error.what());
    HttpReply answer = errorReply(Error(ErrorCode::lotStateUnknown));
    answer.headers.emplace_back("Retry-After", "0.05");
    co_return answer;
  }
}

Task<HttpReply> LotApi::endLot(LotKey key) {
  EndLot const request{key.host, key.id, 0};
  FindLotReply const reply = co_await askCoordinator(request, settings_.bounds.inTouch / 2);
  if (!reply.known) throw Error(ErrorCode::lotUnknown);
  cacheLot(reply.lot);
  co_return HttpReply{200, "{}", "application/json", {}};
}

/// Reads from the primary, or from any holder of a sealed lot, those in this zone first. Nothing if none answers.
Task<std::optional<ReadResultsReply>> LotApi::readFromHolders(LotRecord lot, std::uint64_t from, TimePoint until) {
  vector<StoreRef> holders = lot.holders;
  if (lot.isSealed())
    std::stable_partition(holders.begin(), holders.end(),
                          [this](StoreRef const& store) { return store.zone == settings_.zone; });
  else
    holders.resize(std::min<std::size_t>(holders.size(), 1));
  for (StoreRef const& holder : holders) {
    Ms const left(remainingMs(until));
    ReadResults request{lot.host, lot.id, lot.lowestReplicaStamp(), from, maxPageBytes, left.count()};
    request.sealed = lot.isSealed();
    request.sealedResults = lot.sealedResults;
    Ms const limit = lot.isSealed() ? settings_.bounds.settleWithin / 2 : left + settings_.bounds.settleWithin / 2;
    try {
      co_return co_await rpc_.call(holder.address, request, limit);
    } catch (Error const& error) {
      logDebug("lots", "lot " + lot.id + ": reading results from " + holder.name + " failed: " + error.what());
    }
  }
  co_return std::nullopt;
}

Task<HttpReply> LotApi::listResults(LotKey key, std::uint64_t from, Ms hold) {
  TimePoint const until = Clock::now() + std::max(hold, settings_.bounds.settleWithin);
  std::optional<ReadResultsReply> page;
  for (int turn = 0; !page; ++turn) {
    LotRecord const lot = co_await findLot(key, turn > 0);
    if (lot.holders.empty()) throw Error(ErrorCode::lotStateUnknown);
    page = co_await readFromHolders(lot, from, std::min(until, Clock::now() + hold));
    if (page) break;
    // Drops the cached record, so that the next request doesn't wait for the same unresponsive store.
    cachedLots_.erase(key);
    if (Clock::now() + settings_.bounds.step > until) throw Error(ErrorCode::lotStateUnknown);
    co_await sleepFor(settings_.bounds.step / 2);
  }
  co_return HttpReply{200, resultsAsJson(*page, from), "application/json", {}};
}

Task<HttpReply> LotApi::readItem(LotKey key, string item) {
  TimePoint const until = Clock::now() + settings_.bounds.settleWithin;
  for (int turn = 0;; ++turn) {
    LotRecord const lot = co_await findLot(key, turn > 0);
    if (lot.holders.empty()) throw Error(ErrorCode::lotStateUnknown);
    // Replicas of a sealed lot have no item bodies.
    if (lot.isSealed()) throw Error(ErrorCode::itemUnknown);
    try {
      ReadItem const request{key.host, key.id, item, lot.stamp};
      ReadItemReply reply = co_await rpc_.call(lot.holders[0].address, request, settings_.bounds.settleWithin / 2);
      if (!reply.known) throw Error(ErrorCode::itemUnknown);
      co_return HttpReply{200, std::move(reply.body), "application/octet-stream", {}};
    } catch (Error const& error) {
      if (error.code() == ErrorCode::itemUnknown) throw;
      if (Clock::now() + settings_.bounds.step > until) throw Error(ErrorCode::lotStateUnknown);
    }
    co_await sleepFor(settings_.bounds.step / 2);
  }
}

}  // namespace tealshelf
