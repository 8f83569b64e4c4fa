#pragma once
#include "configuration/configuration.hpp"
#include "tenants/caller.hpp"
#include "traffic/load_balancer.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// What shall be done with a client's request, worked out before anything is done.
struct RequestPlan {
  std::shared_ptr<Configuration const> configuration;  ///< keeps the route alive
  Route const* route = nullptr;                        ///< null if no route matches
  Caller caller;                                       ///< of a request that has a route
  string attempt;                                      ///< the id that the answer must bear
  TimePoint receivedAt, deadline;
  std::uint64_t tries = 1;  ///< workers that the request is sent to, at the most
  bool mayRepeat = false, isStream = false;
  PickRequest pick;
};

/// The host that a request names, without its port, in lower case.
string hostOf(HttpRequest const& request);
/// A header of a request; "" if it has none of that name.
string_view headerOf(HttpRequest const& request, string_view name);

RequestPlan planRequest(HttpRequest const& request, std::shared_ptr<Configuration const> configuration, TimePoint now);

}  // namespace tealshelf
