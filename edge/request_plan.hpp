#pragma once
#include "configuration/configuration.hpp"
#include "tenants/caller.hpp"
#include "traffic/load_balancer.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// How a client's request is to be handled, decided before it is sent anywhere.
struct RequestPlan {
  std::shared_ptr<Configuration const> configuration;  ///< keeps the route alive
  Route const* route = nullptr;                        ///< null if no route matches
  Caller caller;                                       ///< set if the request has a route
  string attempt;                                      ///< the attempt id, which the answer must repeat
  TimePoint receivedAt, deadline;
  std::uint64_t tries = 1;  ///< maximum number of workers that the request is sent to
  bool mayRepeat = false, isStream = false;
  PickRequest pick;
};

/// The host of a request, without port and in lower case.
string hostOf(HttpRequest const& request);
/// The value of a request's header; "" if it is missing.
string_view headerOf(HttpRequest const& request, string_view name);

RequestPlan planRequest(HttpRequest const& request, std::shared_ptr<Configuration const> configuration, TimePoint now);

}  // namespace tealshelf
