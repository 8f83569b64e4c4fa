#include "tools/soak/configurations.hpp"

#include "tools/soak/http_call.hpp"

#include <sstream>

namespace tealshelf::soak {

namespace {
string const modelService = "models", appService = "app", absentService = "absent";

struct RouteText {
  string name, host, pathStart, kind, service, more;
};

/// How a configuration names the routes of lots. Only host and prefix identify a route.
enum class LotRouteNames {
  own,      ///< one for each route
  shared,   ///< the same for all routes of all hosts
  swapped,  ///< each route has the name that another route of its host has under `own`
  renamed   ///< new ones with each version
};
constexpr std::uint64_t lotRouteNamings = 4;

string nameOfLotRoute(string const& host, string const& pathStart, LotRouteNames names, std::uint64_t version) {
  if (names == LotRouteNames::shared) return "lots";
  bool const isSwapped = names == LotRouteNames::swapped;
  bool const isServed = pathStart == lotPathStart;
  string const name = (isServed != isSwapped ? "night-" : "shelf-") + host;
  return names == LotRouteNames::renamed ? name + "-" + std::to_string(version) : name;
}

void writeRoute(std::ostream& text, RouteText const& route, std::uint64_t variant) {
  text << "{\"name\":\"" << route.name << "\",\"host\":\"" << route.host << "\",\"pathStart\":\"" << route.pathStart
       << "\",\"kind\":\"" << route.kind << "\",\"timeLimitMs\":" << 4000 + variant % 7 << ",\"targetMs\":" << 300
       << ",\"priority\":" << variant % 3 << ",\"service\":\"" << route.service
       << "\",\"tries\":2,\"sticky\":false,\"resumable\":" << (route.name == "stream" ? "true" : "false") << route.more
       << "}";
}

void writeService(std::ostream& text, string const& name, std::uint64_t variant) {
  SoakBounds const bounds;
  text << "{\"name\":\"" << name << "\",\"healthPath\":\"/health\",\"maxConnections\":" << 200 + variant % 5
       << ",\"protocol\":\"h1\",\"useTls\":false,\"warmUpS\":" << bounds.warmUp.count() / 1000
       << ",\"warmupPerS\":" << bounds.warmUpPerSecond;
  if (name == modelService) text << ",\"scaling\":{\"lowest\":1,\"highest\":9,\"startTimeS\":1}";
  text << "}";
}
}  // namespace

string pathStartOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::repeatable:
      return "/plain/";
    case RequestKind::oneShot:
      return "/once/";
    case RequestKind::resumableStream:
      return "/stream/";
    case RequestKind::singleStream:
      return "/single/";
    case RequestKind::lotItem:
      return lotPathStart;
  }
  return "";
}

string serviceOf(string_view path) {
  if (path.starts_with(unservedPathStart)) return absentService;
  for (RequestKind const kind : {RequestKind::resumableStream, RequestKind::singleStream, RequestKind::lotItem})
    if (path.starts_with(pathStartOf(kind))) return modelService;
  return appService;
}

string markerPathStart(std::uint64_t version) {
  return "/v" + std::to_string(version) + "/";
}

string configurationText(std::uint64_t version, std::uint64_t variant) {
  string const forEvents = ",\"gapTargetMs\":250";
  string const forLots = ",\"dueInMs\":8000,\"keepForS\":600,\"maxQueuedTokens\":0";
  vector<RouteText> routes{
      {"plain", requestHost, pathStartOf(RequestKind::repeatable), "repeatable", appService, ""},
      {"once", requestHost, pathStartOf(RequestKind::oneShot), "one_shot", appService, ""},
      {"stream", requestHost, pathStartOf(RequestKind::resumableStream), "streaming", modelService, forEvents},
      {"single", requestHost, pathStartOf(RequestKind::singleStream), "streaming", modelService, forEvents},
      {"marker", requestHost, markerPathStart(version), "repeatable", appService, ""}};
  LotRouteNames const names = static_cast<LotRouteNames>(variant % lotRouteNamings);
  for (string const& host : lotHosts)
    for (string const& pathStart : {unservedPathStart, lotPathStart}) {
      string const name = nameOfLotRoute(host, pathStart, names, version);
      routes.push_back({name, host, pathStart, "bulk", serviceOf(pathStart), forLots});
    }
  std::ostringstream text;
  text << "{\"version\":" << version << ",\"routes\":[";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if (i) text << ",";
    writeRoute(text, routes[i], variant);
  }
  text << "],\"services\":[";
  writeService(text, modelService, variant);
  text << ",";
  writeService(text, appService, variant);
  text << ",";
  writeService(text, absentService, variant);
  text << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerWaitMs\":3000,\"idleLimitMs\":"
       << 15000 + variant % 1000 << "},\"customers\":[{\"name\":\"tenant\",\"apiKeys\":[\"" << tenantKey << "\"]}]}";
  return text.str();
}

}  // namespace tealshelf::soak
