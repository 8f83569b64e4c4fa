#pragma once
#include "configuration/tenant_keys.hpp"

/// The operator's configuration: routes, services and limits.
namespace tealshelf {

/// What may be done with a request whose worker fails.
enum class RouteKind {
  repeatable,  ///< may run more than once
  oneShot,     ///< at most once for each try of a client
  streaming,   ///< as oneShot, unless it may be resumed
  bulk         ///< lots
};

/// One part of a route's traffic.
struct TrafficShare {
  string service;
  std::uint64_t weight = 1;
};

struct Route {
  string name, host;
  string prefix;  ///< of the path; begins and ends with a slash
  RouteKind kind = RouteKind::oneShot;
  Ms timeLimit{0};  ///< the longest that a request is held
  Ms target{0};     ///< within which an answer, or a stream's first event, is in time
  Ms gapTarget{0};  ///< the longest pause between events that is in time
  Ms dueIn{0};      ///< of lots: from the submission to the last result
  Ms keepFor{0};    ///< of lots: from the submission until items may be given up
  std::uint64_t priority = 0;
  std::uint64_t tries = 1;  ///< workers that one request is sent to, at the most
  std::uint64_t maxQueuedTokens = 0;
  bool sticky = false, resumable = false;
  bool isPublic = false;  ///< taken without a key
  vector<TrafficShare> shares;
  std::uint64_t totalWeight = 0;

  /// True if a request may run more than once.
  bool mayRepeat() const { return kind == RouteKind::repeatable || (kind == RouteKind::streaming && resumable); }
  /// The service for a request, by a hash of the request.
  string const& serviceFor(std::uint64_t hash) const;
};

/// A tenant: whoever holds one of its keys.
struct Tenant {
  string name;
  std::optional<std::uint64_t> priority;  ///< goes before that of the route
  double ratePerSecond = 0;               ///< requests that it may make; 0: no limit
  double burst = 0;                       ///< requests that it may make at once beyond the rate
  bool isLimited() const { return ratePerSecond > 0; }
};

/// How many workers a service may have in each of its zones.
struct ServiceScaling {
  std::uint64_t lowest = 0, highest = 0;
  Ms startTime{0};  ///< until a worker that was ordered begins to serve
  /// A range that holds no number of workers can't be ordered from.
  bool isUsable() const { return highest > 0 && lowest <= highest; }
};

struct ServiceSettings {
  string name, healthPath;
  std::uint64_t maxConnections = 0, capacity = 0, cacheTokens = 0;
  Ms warmUp{0};                           ///< for so long a worker warms up after its start
  double warmUpPerSecond = 0;             ///< requests that it bears then
  std::optional<ServiceScaling> scaling;  ///< the platform starts and ends workers of the service on demand
  bool warmsUp() const { return warmUp > Ms(0) || warmUpPerSecond > 0; }
};

/// What a client may send, and how long it may take or stay idle.
struct ClientLimits {
  std::uint64_t maxHeaderBytes = 16384, maxBodyBytes = 4u << 20;
  Ms headerWait{3000}, idleLimit{15000};
};

/// A whole configuration, checked; immutable once compiled.
struct Configuration {
  std::uint64_t version = 0;
  vector<Route> routes;
  std::map<string, ServiceSettings> services;
  ClientLimits limits;
  /// True if the configuration names tenants, if only an empty list: routes that aren't public need a key then.
  bool needsKeys = false;
  vector<Tenant> tenants;
  TenantKeys keys;  ///< to indexes of `tenants`
  std::map<string, std::uint32_t, std::less<>> tenantsByName;
  /// Indexes of the routes of each host, longest prefix first.
  std::map<string, vector<std::uint32_t>, std::less<>> routesByHost;

  /// The route of a request, or null. The path may have a query.
  Route const* findRoute(string_view host, string_view path) const;
  Route const* findByName(string_view name) const;
  /// The tenant that holds a key, or null.
  Tenant const* findTenantByKey(string_view key) const;
  Tenant const* findTenant(string_view name) const;
};

struct ConfigurationFault {
  ErrorCode code;
  string text;
};
/// Reads and compiles a configuration; lists all faults in one pass.
std::shared_ptr<Configuration const> readConfiguration(string const& text, vector<ConfigurationFault>& faults);
/// The same; throws the first fault.
std::shared_ptr<Configuration const> compileConfiguration(string const& text);

}  // namespace tealshelf
