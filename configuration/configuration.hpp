#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

enum class RouteKind { repeatable, oneShot, streaming, bulk };

/// One part of a route's traffic.
struct Share {
  string service;
  std::uint64_t weight = 1;
};
/// A route as the operator states it.
struct Route {
  string name, host, prefix;
  RouteKind kind = RouteKind::oneShot;
  std::int64_t timeLimit = 0, aim = 0, gapAim = 0, dueIn = 0, keepFor = 0;
  std::uint64_t priority = 0, tries = 1, mostQueued = 0;
  bool sticky = false, resumable = false;
  vector<Share> shares;
  std::uint64_t weights = 0;
  /// True if a request may run more than once.
  bool mayRepeat() const { return kind == RouteKind::repeatable || (kind == RouteKind::streaming && resumable); }
  /// The service for a request, by its hash.
  string const& serviceFor(std::uint64_t h) const;
};
struct ServiceLine {
  string name, healthPath;
  std::uint64_t maxConnections = 0, capacity = 0, cacheTokens = 0;
};
struct Limits {
  std::uint64_t headerBytes = 16384, bodyBytes = 4u << 20;
  std::int64_t headerWait = 3000, idleLimit = 15000;
};
/// A whole configuration, checked; immutable once compiled.
struct Configuration {
  std::uint64_t version = 0;
  vector<Route> routes;
  std::map<string, ServiceLine> services;
  Limits limits;
  std::map<string, vector<std::uint32_t>, std::less<>> table;  ///< host to routes, longest prefix first

  /// The route of a request, or null.
  Route const* find(string_view host, string_view path) const;
  Route const* byName(string_view name) const;
};
/// A fault found in a configuration.
struct ConfigurationFault {
  ErrorCode code;
  string text;
};
/// Reads and compiles a configuration; lists all faults in one pass.
std::shared_ptr<Configuration const> readConfiguration(string const& text, vector<ConfigurationFault>& faults);
/// The same; throws the first fault.
std::shared_ptr<Configuration const> compileConfiguration(string const& text);

}  // namespace tealshelf
