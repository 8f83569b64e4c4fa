#pragma once
#include "configuration/configuration.hpp"
#include "tenants/credit_shard.hpp"
#include "tenants/rate_allowance.hpp"

/// How many requests workers that warm up may be sent, by all nodes together.
///
/// The rule: in every window of one second, a worker that warms up gets no more than perSecond x overrun + margin
/// requests, from all nodes. The shards of the control plane grant what fits, as with tenants (rate_allowance.hpp): a
/// credit lives E, so the requests of a window come from grants in a span of W + E, which are no more than the rates
/// times that span plus the depths.
namespace tealshelf {

/// The window of the rule.
constexpr Ms warmUpWindow{1000};

/// The life of a credit for a worker that warms up: until when its request must have been written.
Ms warmUpCreditLife();

/// For how long a node whose knowledge is old goes by a worker's own word that it is warm. All that such nodes send
/// within it after a worker went cold comes on top of what is granted, so it is about a round trip.
Ms warmUpProbeTrust(Bounds const& bounds);

CreditTiming warmUpTiming(Bounds const& bounds);

/// The most requests that a warming worker of a service may get in a window.
double warmUpBound(ServiceSettings const& service, Bounds const& bounds);

/// What all shards together grant for one worker. Nothing (a burst under 1) if the bound has no room for a whole token
/// beside the rate.
RateAllowance warmUpAllowance(ServiceSettings const& service, Bounds const& bounds);

/// True if an allowance grants anything at all.
bool grantsAnything(RateAllowance const& allowance);

}  // namespace tealshelf
