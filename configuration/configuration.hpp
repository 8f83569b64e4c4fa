#pragma once
#include "configuration/tenant_keys.hpp"

/// The operator's configuration: routes, services, tenants and limits.
namespace tealshelf {

/// How a request may be retried when its worker fails.
enum class RouteKind {
  repeatable,  ///< may run more than once
  oneShot,     ///< at most once for each attempt of a client
  streaming,   ///< as oneShot, unless the route is resumable
  bulk         ///< batch jobs (lots)
};

/// One part of a route's traffic.
struct TrafficShare {
  string service;
  std::uint64_t weight = 1;
};

struct Route {
  string name;  ///< for operators only: may change, and other routes may share it
  string host;
  string prefix;  ///< prefix of the path; begins and ends with a slash; identifies the route together with the host
  RouteKind kind = RouteKind::oneShot;
  Ms timeLimit{0};  ///< the longest time that a request may take
  Ms target{0};     ///< latency target of a response, or of a stream's first event
  Ms gapTarget{0};  ///< latency target between events of a stream
  Ms dueIn{0};      ///< of lots: target time from the submission to the last result
  Ms keepFor{0};    ///< of lots: time from the submission until unfinished items may be dropped
  std::uint64_t priority = 0;
  std::uint64_t tries = 1;  ///< the most workers that one request is sent to
  std::uint64_t maxQueuedTokens = 0;
  bool sticky = false, resumable = false;
  bool isPublic = false;  ///< requests need no key
  vector<TrafficShare> shares;
  std::uint64_t totalWeight = 0;

  /// Identifies the route: its host and prefix.
  string id() const { return host + prefix; }
  /// True if a request may run more than once.
  bool mayRepeat() const { return kind == RouteKind::repeatable || (kind == RouteKind::streaming && resumable); }
  /// The service for a request, by a hash of the request.
  string const& serviceFor(std::uint64_t hash) const;
};

/// A tenant; requests that carry one of its keys belong to it.
struct Tenant {
  string name;
  std::optional<std::uint64_t> priority;  ///< overrides that of the route
  double ratePerSecond = 0;               ///< rate limit of its requests; 0: no limit
  double burst = 0;                       ///< requests that it may send at once beyond the rate
  bool isLimited() const { return ratePerSecond > 0; }
};

/// Range of the number of workers of a service in each of its zones.
struct ServiceScaling {
  std::uint64_t lowest = 0, highest = 0;
  Ms startTime{0};  ///< time from the order of a worker until it serves requests
  /// False for an empty range; then no workers can be ordered.
  bool isUsable() const { return highest > 0 && lowest <= highest; }
};

struct ServiceSettings {
  string name, healthPath;
  std::uint64_t maxConnections = 0, capacity = 0, cacheTokens = 0;
  Ms warmUp{0};                           ///< how long a worker warms up after its start
  double warmUpPerSecond = 0;             ///< rate of requests that a worker can serve while it warms up
  std::optional<ServiceScaling> scaling;  ///< the platform starts and ends workers of the service on demand
  bool warmsUp() const { return warmUp > Ms(0) || warmUpPerSecond > 0; }
};

/// Limits of the size and duration of what a client sends.
struct ClientLimits {
  std::uint64_t maxHeaderBytes = 16384, maxBodyBytes = 4u << 20;
  Ms headerWait{3000}, idleLimit{15000};
};

/// A complete, validated configuration; immutable once compiled.
struct Configuration {
  std::uint64_t version = 0;
  vector<Route> routes;
  std::map<string, ServiceSettings> services;
  ClientLimits limits;
  /// True if the configuration has a list of tenants, even an empty one: then routes that aren't public require a key.
  bool needsKeys = false;
  vector<Tenant> tenants;
  TenantKeys keys;  ///< values are indexes of `tenants`
  std::map<string, std::uint32_t, std::less<>> tenantsByName;
  /// Indexes of the routes of each host, longest prefix first.
  std::map<string, vector<std::uint32_t>, std::less<>> routesByHost;

  /// The route of a request, or null. The path may have a query.
  Route const* findRoute(string_view host, string_view path) const;
  /// The route with exactly this host and prefix, or null. No two routes share both; names may be shared.
  Route const* findByPrefix(string_view host, string_view prefix) const;
  /// The routes of a host, longest prefix first.
  vector<Route const*> routesOf(string_view host) const;
  /// The tenant that holds a key, or null.
  Tenant const* findTenantByKey(string_view key) const;
  Tenant const* findTenant(string_view name) const;
};

struct ConfigurationFault {
  ErrorCode code;
  string text;
};
/// Parses and compiles a configuration; collects all faults in one pass.
std::shared_ptr<Configuration const> readConfiguration(string const& text, vector<ConfigurationFault>& faults);
/// Parses and compiles a configuration; throws the first fault as an Error.
std::shared_ptr<Configuration const> compileConfiguration(string const& text);

}  // namespace tealshelf
