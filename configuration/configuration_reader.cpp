// Parses and validates the operator's configuration.
#include "configuration/configuration.hpp"

#include <boost/property_tree/json_parser.hpp>
#include <sstream>

namespace tealshelf {

namespace {
using Tree = boost::property_tree::ptree;

/// Three years in milliseconds.
constexpr std::uint64_t maxDurationMs = 3ull * 366 * 24 * 3600 * 1000;
/// The largest weight of one service of a route, so that sums don't overflow.
constexpr std::uint64_t maxWeight = 1000000000;
/// Upper bound of whole numbers that are written as reals, such as 1e3.
constexpr double maxReal = 1e15;

/// The highest rate or burst of a tenant.
constexpr double maxRate = 1e9;
/// The most bytes of a name that the text of a fault quotes.
constexpr std::size_t maxQuotedNameBytes = 60;

/// True for a text that can stand in a header as it is: visible ASCII, not empty.
bool isHeaderText(string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

enum class Presence { required, optional };

/// Reads fields and collects their faults; an invalid field gets its default. `where` names the object in the faults.
class FieldReader {
 public:
  explicit FieldReader(vector<ConfigurationFault>& faults) : faults_(faults) {}
  void fault(ErrorCode code, string const& text) { faults_.push_back({code, text}); }

  string text(Tree const& object, char const* name, string const& where, Presence presence) {
    boost::optional<Tree const&> const field = find(object, name, where, presence);
    if (!field) return "";
    if (!field->empty()) fault(ErrorCode::wrongType, where + "." + name);
    return field->data();
  }

  std::uint64_t number(Tree const& object, char const* name, string const& where, std::uint64_t fallback,
                       Presence presence = Presence::optional) {
    boost::optional<Tree const&> const field = find(object, name, where, presence);
    if (!field) return fallback;
    string const& value = field->data();
    bool const isLeaf = field->empty();
    if (std::optional<std::uint64_t> const whole = parseNumber(value); isLeaf && whole) return *whole;
    char* end = nullptr;
    double const real = std::strtod(value.c_str(), &end);
    bool const isReal = isLeaf && !value.empty() && end && !*end;
    if (isReal && real >= 0 && real < maxReal) return static_cast<std::uint64_t>(real);
    fault(isReal ? ErrorCode::outOfRange : ErrorCode::wrongType,
          where + "." + name + " can't be " + value.substr(0, 40));
    return fallback;
  }

  /// A duration that is small enough to be added to a time point; the field holds it in multiples of `unit`.
  Ms duration(Tree const& object, char const* name, string const& where, Ms fallback,
              Presence presence = Presence::optional, Ms unit = Ms(1)) {
    std::uint64_t const unitMs = static_cast<std::uint64_t>(unit.count());
    std::uint64_t const count = number(object, name, where, static_cast<std::uint64_t>(fallback.count()), presence);
    if (count <= maxDurationMs / unitMs) return Ms(static_cast<std::int64_t>(count * unitMs));
    fault(ErrorCode::outOfRange, where + "." + name + " is longer than three years");
    return fallback;
  }

  bool flag(Tree const& object, char const* name, string const& where) {
    boost::optional<Tree const&> const field = object.get_child_optional(name);
    if (!field) return false;
    if (field->data() != "true" && field->data() != "false") fault(ErrorCode::wrongType, where + "." + name);
    return field->data() == "true";
  }

 private:
  boost::optional<Tree const&> find(Tree const& object, char const* name, string const& where, Presence presence) {
    boost::optional<Tree const&> const field = object.get_child_optional(name);
    if (!field && presence == Presence::required) fault(ErrorCode::unreadable, where + " has no " + name);
    return field;
  }

  vector<ConfigurationFault>& faults_;
};

struct KindName {
  string_view name;
  RouteKind kind;
};
constexpr KindName kindNames[] = {{"repeatable", RouteKind::repeatable},
                                  {"one_shot", RouteKind::oneShot},
                                  {"streaming", RouteKind::streaming},
                                  {"bulk", RouteKind::bulk}};

RouteKind readKind(FieldReader& reader, Tree const& object, string const& where) {
  string const name = reader.text(object, "kind", where, Presence::required);
  for (KindName const& known : kindNames)
    if (known.name == name) return known.kind;
  reader.fault(ErrorCode::wrongType, where + ".kind");
  return RouteKind::oneShot;
}

vector<TrafficShare> readShares(FieldReader& reader, Tree const& route, string const& where) {
  boost::optional<Tree const&> const split = route.get_child_optional("split");
  if (!split) return {{reader.text(route, "service", where, Presence::required), 1}};
  vector<TrafficShare> shares;
  for (Tree::value_type const& element : *split) {
    string const service = reader.text(element.second, "service", where + ".split", Presence::required);
    std::uint64_t const weight = reader.number(element.second, "share", where + ".split", 0, Presence::required);
    shares.push_back({service, weight});
  }
  return shares;
}

void checkShares(FieldReader& reader, Route& route, Configuration const& configuration, string const& where) {
  for (TrafficShare const& share : route.shares) {
    route.totalWeight += share.weight;
    if (share.weight > maxWeight)
      reader.fault(ErrorCode::outOfRange, where + " has a share of " + std::to_string(share.weight) +
                                              ", above the maximum of " + std::to_string(maxWeight));
    if (!configuration.services.contains(share.service))
      reader.fault(ErrorCode::unknownService, where + " names the unknown service " + share.service);
  }
  if (!route.totalWeight) reader.fault(ErrorCode::zeroWeights, where);
}

Route readRoute(FieldReader& reader, Tree const& object, Configuration const& configuration) {
  Route route;
  route.name = reader.text(object, "name", "route", Presence::required);
  string const where = "route " + route.name;
  // Host names are case-insensitive.
  route.host = lowerCase(reader.text(object, "host", where, Presence::required));
  route.prefix = reader.text(object, "pathStart", where, Presence::required);
  bool const validPrefix = !route.prefix.empty() && route.prefix.front() == '/' && route.prefix.back() == '/';
  if (!validPrefix) reader.fault(ErrorCode::badPrefix, where);
  route.kind = readKind(reader, object, where);
  route.timeLimit = reader.duration(object, "timeLimitMs", where, Ms(0), Presence::required);
  if (route.timeLimit == Ms(0)) reader.fault(ErrorCode::zeroTimeLimit, where);
  route.target = reader.duration(object, "targetMs", where, Ms(0));
  route.gapTarget = reader.duration(object, "gapTargetMs", where, Ms(0));
  route.dueIn = reader.duration(object, "dueInMs", where, Ms(0));
  route.keepFor = reader.duration(object, "keepForS", where, Ms(0), Presence::optional, std::chrono::seconds(1));
  route.priority = reader.number(object, "priority", where, 0);
  route.tries = std::max<std::uint64_t>(1, reader.number(object, "tries", where, 1));
  route.maxQueuedTokens = reader.number(object, "maxQueuedTokens", where, 0);
  route.sticky = reader.flag(object, "sticky", where);
  route.resumable = reader.flag(object, "resumable", where);
  route.isPublic = reader.flag(object, "public", where);
  route.shares = readShares(reader, object, where);
  checkShares(reader, route, configuration, where);
  return route;
}

/// A real number from 0 to a limit.
double readNonNegativeReal(FieldReader& reader, Tree const& object, char const* name, string const& where) {
  boost::optional<Tree const&> const field = object.get_child_optional(name);
  if (!field) return 0;
  char* end = nullptr;
  double const real = std::strtod(field->data().c_str(), &end);
  bool const isReal = field->empty() && !field->data().empty() && end && !*end;
  if (isReal && real >= 0 && real <= maxRate) return real;
  reader.fault(isReal ? ErrorCode::outOfRange : ErrorCode::wrongType, where + "." + name);
  return 0;
}

ServiceScaling readScaling(FieldReader& reader, Tree const& object, string const& where) {
  ServiceScaling scaling;
  scaling.lowest = reader.number(object, "lowest", where, 0);
  scaling.highest = reader.number(object, "highest", where, 0);
  scaling.startTime = Ms(static_cast<std::int64_t>(1000 * readNonNegativeReal(reader, object, "startTimeS", where)));
  return scaling;
}

ServiceSettings readService(FieldReader& reader, Tree const& object) {
  ServiceSettings service;
  service.name = reader.text(object, "name", "service", Presence::required);
  string const where = "service " + service.name;
  service.healthPath = reader.text(object, "healthPath", where, Presence::optional);
  service.maxConnections = reader.number(object, "maxConnections", where, 0);
  service.warmUp = Ms(static_cast<std::int64_t>(1000 * readNonNegativeReal(reader, object, "warmUpS", where)));
  service.warmUpPerSecond = readNonNegativeReal(reader, object, "warmupPerS", where);
  if (boost::optional<Tree const&> const runtime = object.get_child_optional("runtime")) {
    string const whereRuntime = "runtime of " + service.name;
    service.capacity = reader.number(*runtime, "capacity", whereRuntime, 0);
    service.cacheTokens = reader.number(*runtime, "cacheTokens", whereRuntime, 0);
  }
  boost::optional<Tree const&> const scaling = object.get_child_optional("scaling");
  if (scaling && !scaling->empty()) service.scaling = readScaling(reader, *scaling, "scaling of " + service.name);
  return service;
}

void readRoutes(FieldReader& reader, Tree const& list, Configuration& configuration) {
  std::set<std::pair<string, string>> hostsAndPrefixes;
  for (Tree::value_type const& element : list) {
    configuration.routes.push_back(readRoute(reader, element.second, configuration));
    Route const& route = configuration.routes.back();
    if (!hostsAndPrefixes.insert({route.host, route.prefix}).second)
      reader.fault(ErrorCode::duplicateRoute, route.host + route.prefix);
    configuration.routesByHost[route.host].push_back(static_cast<std::uint32_t>(configuration.routes.size() - 1));
  }
  for (auto& [host, indexes] : configuration.routesByHost)
    std::stable_sort(indexes.begin(), indexes.end(), [&configuration](std::uint32_t left, std::uint32_t right) {
      return configuration.routes[left].prefix.size() > configuration.routes[right].prefix.size();
    });
}

ClientLimits readLimits(FieldReader& reader, Tree const& object) {
  ClientLimits limits;
  limits.maxHeaderBytes = reader.number(object, "maxHeaderBytes", "limits", limits.maxHeaderBytes);
  limits.maxBodyBytes = reader.number(object, "maxBodyBytes", "limits", limits.maxBodyBytes);
  limits.headerWait = reader.duration(object, "headerWaitMs", "limits", limits.headerWait);
  limits.idleLimit = reader.duration(object, "idleLimitMs", "limits", limits.idleLimit);
  return limits;
}

/// Reads the keys of a tenant; the texts of faults never contain a key.
void readKeys(FieldReader& reader, Tree const& object, string const& where, std::uint32_t tenant,
              Configuration& configuration) {
  boost::optional<Tree const&> const keys = object.get_child_optional("apiKeys");
  if (!keys) return;
  if (!keys->data().empty()) reader.fault(ErrorCode::wrongType, where + ".apiKeys");
  for (Tree::value_type const& element : *keys) {
    string const& key = element.second.data();
    if (!element.second.empty() || !isHeaderText(key)) {
      reader.fault(ErrorCode::badKey, where);
      continue;
    }
    if (!configuration.keys.add(key, tenant)) reader.fault(ErrorCode::sharedKey, where);
  }
}

void readTenants(FieldReader& reader, Tree const& list, Configuration& configuration) {
  if (!list.data().empty()) reader.fault(ErrorCode::wrongType, "customers isn't a list");
  configuration.needsKeys = true;
  for (Tree::value_type const& element : list) {
    Tree const& object = element.second;
    Tenant tenant;
    tenant.name = reader.text(object, "name", "customer", Presence::required);
    string const where = "customer " + tenant.name.substr(0, maxQuotedNameBytes);
    std::uint32_t const index = static_cast<std::uint32_t>(configuration.tenants.size());
    bool const isUnique = configuration.tenantsByName.emplace(tenant.name, index).second;
    if (!isHeaderText(tenant.name) || !isUnique) reader.fault(ErrorCode::badTenant, where);
    if (object.get_child_optional("priority")) tenant.priority = reader.number(object, "priority", where, 0);
    tenant.ratePerSecond = readNonNegativeReal(reader, object, "ratePerS", where);
    tenant.burst = readNonNegativeReal(reader, object, "burst", where);
    readKeys(reader, object, where, index, configuration);
    configuration.tenants.push_back(std::move(tenant));
  }
}

/// The JSON document; nothing if the text isn't exactly one JSON document.
std::optional<Tree> parseJson(string const& text) {
  Tree document;
  try {
    std::istringstream input(text);
    boost::property_tree::read_json(input, document);
    input >> std::ws;
    if (!input.eof()) return std::nullopt;
  } catch (std::exception const&) {
    return std::nullopt;
  }
  return document;
}
}  // namespace

std::shared_ptr<Configuration const> readConfiguration(string const& text, vector<ConfigurationFault>& faults) {
  std::shared_ptr<Configuration> const configuration = std::make_shared<Configuration>();
  FieldReader reader(faults);
  std::optional<Tree> const parsed = parseJson(text);
  if (!parsed) {
    reader.fault(ErrorCode::unreadable, "the text isn't one JSON document");
    return configuration;
  }
  Tree const& document = *parsed;
  configuration->version = reader.number(document, "version", "configuration", 0, Presence::required);
  boost::optional<Tree const&> const services = document.get_child_optional("services");
  boost::optional<Tree const&> const routes = document.get_child_optional("routes");
  boost::optional<Tree const&> const limits = document.get_child_optional("limits");
  if (!services || !routes) reader.fault(ErrorCode::unreadable, "the configuration has no routes or no services");
  if ((services && !services->data().empty()) || (routes && !routes->data().empty()))
    reader.fault(ErrorCode::wrongType, "routes or services isn't a list");
  if (services)
    for (Tree::value_type const& element : *services) {
      ServiceSettings service = readService(reader, element.second);
      string const name = service.name;
      configuration->services[name] = std::move(service);
    }
  if (routes) readRoutes(reader, *routes, *configuration);
  if (limits) configuration->limits = readLimits(reader, *limits);
  if (boost::optional<Tree const&> const tenants = document.get_child_optional("customers"))
    readTenants(reader, *tenants, *configuration);
  return configuration;
}

std::shared_ptr<Configuration const> compileConfiguration(string const& text) {
  vector<ConfigurationFault> faults;
  std::shared_ptr<Configuration const> const configuration = readConfiguration(text, faults);
  if (!faults.empty()) throw Error(faults[0].code, faults[0].text);
  return configuration;
}

}  // namespace tealshelf
