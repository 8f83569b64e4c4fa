#pragma once
#include "tools/soak/ledger.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// Hosts of the routes. Lots have two, so that two keyspaces keep their records.
inline string const requestHost = "shop.example";
inline vector<string> const lotHosts{"shop.example", "depot.example"};

/// Routes of lots. Nobody serves the second: its items wait for good, so that their bodies must come back.
inline string const lotPathStart = "/night/", unservedPathStart = "/shelf/";

/// Where requests of a kind go.
string pathStartOf(RequestKind kind);
/// The path that only one version of the configuration allows.
string markerPathStart(std::uint64_t version);

/// The text of a configuration. Each version has a route of its own, and small differences that follow from `variant`.
string configurationText(std::uint64_t version, std::uint64_t variant);

}  // namespace tealshelf::soak
