#pragma once
#include "configuration/configuration.hpp"
#include "tenants/credit_shard.hpp"
#include "tenants/rate_allowance.hpp"

/// The number of requests that all nodes together may send to a worker that warms up.
///
/// The rule: in every window of one second, a worker that warms up gets no more than perSecond x overrun + margin
/// requests, from all nodes together. The shards of the control plane grant credits within that bound, as for tenants
/// (rate_allowance.hpp): with a credit life of E, the requests in a window W come from grants in a span of W + E, which
/// are no more than the rates times that span plus the depths.
namespace tealshelf {

/// The window of the rule.
constexpr Ms warmUpWindow{1000};

/// The life of a credit for a worker that warms up, within which its request must be written to the connection.
Ms warmUpCreditLife();

/// How long a node without recent updates trusts a worker's own report that it is warm. Requests that such nodes send
/// in this time to a worker that has become cold aren't covered by credits, so it is about a round trip.
Ms warmUpProbeTrust(Bounds const& bounds);

CreditTiming warmUpTiming(Bounds const& bounds);

/// The most requests that a warming worker of a service may get in a window.
double warmUpBound(ServiceSettings const& service, Bounds const& bounds);

/// The rate and burst that all shards grant together for one worker. A burst below 1, so that nothing is granted, if
/// the bound leaves no room for a whole token beside the rate.
RateAllowance warmUpAllowance(ServiceSettings const& service, Bounds const& bounds);

/// True if an allowance grants any request.
bool grantsAnything(RateAllowance const& allowance);

}  // namespace tealshelf
