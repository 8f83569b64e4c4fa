#pragma once
#include "tools/soak/ledger.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// Hosts of the routes. Lots use two hosts, so that their records are stored in two keyspaces.
inline string const requestHost = "shop.example";
inline vector<string> const lotHosts{"shop.example", "depot.example"};

/// Path prefixes of the lot routes. The second has no workers: its items stay queued, and their bodies must stay
/// readable.
inline string const lotPathStart = "/night/", unservedPathStart = "/shelf/";

/// Path prefix of the route for requests of a kind.
string pathStartOf(RequestKind kind);
/// The service that runs the requests under a path, whatever the version of the configuration.
string serviceOf(string_view path);
/// Path prefix of the marker route that only this version of the configuration has.
string markerPathStart(std::uint64_t version);

/// JSON text of a configuration, with the version's marker route; `variant` varies a few values and the names of the
/// lots' routes.
string configurationText(std::uint64_t version, std::uint64_t variant);

}  // namespace tealshelf::soak
